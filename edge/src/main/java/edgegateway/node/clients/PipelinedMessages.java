package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * Queues the decoded messages of a connection that cannot be handled yet: pipelined requests after
 * the request in flight, and the chunks of a long body before its attempt begins. A connection must
 * be read to detect that its client disconnected; this class limits how far it is read ahead. Not
 * thread-safe: used on the event loop's thread only.
 */
final class PipelinedMessages {
  /** A queue of up to this size is not counted as buffered. */
  private static final int MAX_UNCOUNTED_BYTES = 4 * 1024;

  /**
   * Reading stops once the queue exceeds this size. Between {@link #MAX_UNCOUNTED_BYTES} and this
   * size, reading continues only while less than half of the capacity for buffered bodies is used.
   */
  private static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

  /** Memory that each head, header and chunk of a body takes in addition to its content. */
  private static final int OVERHEAD_BYTES = 128;

  private final BufferedBodies bufferedBodies;
  private final ArrayDeque<HttpObject> queue = new ArrayDeque<>();
  private int queuedBytes;

  /** The account of the queue's buffered bytes; null while the queue is not counted. */
  private BufferedBodies.Body bufferedBytes;

  PipelinedMessages(BufferedBodies bufferedBodies) {
    this.bufferedBodies = bufferedBodies;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Adds a message and takes ownership of its reference. */
  void add(HttpObject message) {
    queue.add(message);
    queuedBytes += memoryBytes(message);
  }

  /**
   * Removes the oldest message and passes ownership of its reference to the caller; null if the
   * queue is empty.
   */
  HttpObject poll() {
    HttpObject message = queue.poll();
    if (message != null) {
      queuedBytes -= memoryBytes(message);
    }
    return message;
  }

  /** Whether the queue contains the end of a body. */
  boolean hasEndOfBody() {
    for (HttpObject message : queue) {
      if (message instanceof LastHttpContent) {
        return true;
      }
    }
    return false;
  }

  /**
   * Updates the bytes that are counted as buffered for a customer to the queue's current size.
   *
   * @return whether the connection should not be read any further
   */
  boolean updateReadAhead(long customer) {
    if (queuedBytes > MAX_UNCOUNTED_BYTES && bufferedBytes == null) {
      bufferedBytes = bufferedBodies.newBody(customer);
    } else if (queuedBytes <= MAX_UNCOUNTED_BYTES && bufferedBytes != null) {
      bufferedBytes.release();
      bufferedBytes = null;
    }
    if (bufferedBytes == null) {
      return false;
    }
    bufferedBytes.resize(queuedBytes);
    return queuedBytes > MAX_READ_AHEAD_BYTES || !bufferedBodies.isLessThanHalfUsed();
  }

  /** Removes and releases all messages. */
  void release() {
    while (!queue.isEmpty()) {
      ReferenceCountUtil.release(poll());
    }
    updateReadAhead(BufferedBodies.UNKNOWN_CUSTOMER);
  }

  /** The content length of a chunk of a body in bytes; 0 for a head. */
  static int contentBytes(HttpObject message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  private static int memoryBytes(HttpObject message) {
    int bytes = OVERHEAD_BYTES + contentBytes(message);
    if (message instanceof HttpRequest request) {
      bytes += request.uri().length();
      for (Map.Entry<String, String> header : request.headers()) {
        bytes += OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
      }
    }
    return bytes;
  }
}
