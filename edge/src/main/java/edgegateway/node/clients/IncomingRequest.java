package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * The request that a connection is receiving: its head, and its body while that is buffered. For
 * the event loop's thread.
 */
final class IncomingRequest {
  private static final int INITIAL_BODY_CAPACITY = 512;

  /** Null while no request is being received. */
  private HttpRequest head;

  /** Null until the first piece of the body arrives. */
  private ByteBuf body;

  private BufferedBodies.Body bufferedBytes;
  private long receivedBytes;

  /** A head arrived. */
  void begin(HttpRequest request, BufferedBodies.Body newBody) {
    head = request;
    receivedBytes = 0;
    bufferedBytes = newBody;
  }

  /** Whether a request's head arrived and its body is awaited. */
  boolean isActive() {
    return head != null;
  }

  /** Copies a piece of the body; false if there is no capacity to buffer it. */
  boolean append(ByteBuf piece, boolean last, ByteBufAllocator allocator) {
    receivedBytes += piece.readableBytes();
    if (body == null) {
      boolean empty = last && !piece.isReadable();
      body = empty ? Unpooled.EMPTY_BUFFER : allocator.buffer(initialCapacity());
    }
    body.writeBytes(piece);
    return bufferedBytes.tryResize(body.capacity());
  }

  private int initialCapacity() {
    long length = Math.max(INITIAL_BODY_CAPACITY, HttpUtil.getContentLength(head, 0L));
    return (int) Math.min(InFlightRequest.MAX_BUFFERED_BODY_BYTES, length);
  }

  /** Whether the body is too long to be buffered whole. */
  boolean isLong() {
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

  /** The bytes of the body that have arrived. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Ends the receiving; body and buffered bytes are the caller's from now on. */
  void detach() {
    head = null;
    body = null;
    bufferedBytes = null;
  }

  /** Ends the receiving and drops what is here of the request. May be repeated. */
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
