package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * The request that a connection is receiving: its head and the buffered part of its body. Not
 * thread-safe: used on the event loop's thread only.
 */
final class IncomingRequest {
  private static final int INITIAL_BODY_CAPACITY = 512;

  /** Null while no request is being received. */
  private HttpRequest head;

  /** Null until the first chunk of the body arrives. */
  private ByteBuf body;

  private BufferedBodies.Body bufferedBytes;
  private long receivedBytes;

  /**
   * Starts receiving a request.
   *
   * @param newBody accounts for the memory of the request's body; released with this request
   */
  void begin(HttpRequest request, BufferedBodies.Body newBody) {
    head = request;
    receivedBytes = 0;
    bufferedBytes = newBody;
  }

  /** Whether a request is being received: its head arrived, and the end of its body did not. */
  boolean isActive() {
    return head != null;
  }

  /**
   * Copies a chunk of the body into the buffer.
   *
   * @param last whether the chunk is the end of the body
   * @return false if the chunk exceeds the capacity for buffered bodies
   */
  boolean append(ByteBuf chunk, boolean last, ByteBufAllocator allocator) {
    receivedBytes += chunk.readableBytes();
    if (body == null) {
      boolean empty = last && !chunk.isReadable();
      body = empty ? Unpooled.EMPTY_BUFFER : allocator.buffer(initialCapacity());
    }
    body.writeBytes(chunk);
    return bufferedBytes.tryResize(body.capacity());
  }

  private int initialCapacity() {
    long length = Math.max(INITIAL_BODY_CAPACITY, HttpUtil.getContentLength(head, 0L));
    return (int) Math.min(InFlightRequest.MAX_BUFFERED_BODY_BYTES, length);
  }

  /** Whether the body is too long to be buffered completely. */
  boolean isTooLongToBuffer() {
    return body.readableBytes() > InFlightRequest.MAX_BUFFERED_BODY_BYTES;
  }

  HttpRequest head() {
    return head;
  }

  ByteBuf body() {
    return body;
  }

  BufferedBodies.Body bufferedBytes() {
    return bufferedBytes;
  }

  /** How many bytes of the body were received. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Stops receiving the request and passes ownership of its buffers to the caller. */
  void detach() {
    head = null;
    body = null;
    bufferedBytes = null;
  }

  /** Stops receiving the request and releases its buffers. Idempotent. */
  void release() {
    if (body != null) {
      body.release();
    }
    if (bufferedBytes != null) {
      bufferedBytes.release();
    }
    detach();
  }
}
