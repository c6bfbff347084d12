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
 * Queues the decoded messages of a connection that cannot be handled yet: the chunks of a long body
 * that is in flight but not being forwarded, and the heads and chunks of pipelined requests behind
 * the request in flight. A connection must be read to detect that its client disconnected; this
 * class limits how far it is read ahead. Not thread-safe: used on the event loop's thread only.
 */
final class PipelinedMessages {
  /** A queue of up to this size is not counted as buffered. */
  private static final int MAX_UNCOUNTED_BYTES = 4 * 1024;

  /**
   * Reading stops once the queue exceeds this size. Between {@link #MAX_UNCOUNTED_BYTES} and this
   * size, reading continues only while less than half of the capacity for buffered bodies is used.
   */
  private static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

  /**
   * Memory that each request head, header field and body chunk takes in addition to its content.
   */
  private static final int OVERHEAD_BYTES = 128;

  private final BufferedBodies bufferedBodies;
  private final ArrayDeque<HttpObject> queue = new ArrayDeque<>();
  private int queuedBytes;

  /** The account that the queue's bytes are counted in; null while the queue is not counted. */
  private BufferedBodies.Body account;

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
   * @param customer the customer that the queue is counted for; used when the counting begins, and
   *     ignored as long as the queue stays counted
   * @return true if the connection must not be read any further; false if reading may continue
   */
  boolean updateAndCheckReadAheadFull(long customer) {
    if (queuedBytes > MAX_UNCOUNTED_BYTES && account == null) {
      account = bufferedBodies.newBody(customer);
    } else if (queuedBytes <= MAX_UNCOUNTED_BYTES && account != null) {
      account.release();
      account = null;
    }
    if (account == null) {
      return false;
    }
    account.resize(queuedBytes);
    return queuedBytes > MAX_READ_AHEAD_BYTES || !bufferedBodies.isLessThanHalfUsed();
  }

  /** Removes and releases all messages. */
  void release() {
    while (!queue.isEmpty()) {
      ReferenceCountUtil.release(poll());
    }
    updateAndCheckReadAheadFull(BufferedBodies.UNKNOWN_CUSTOMER);
  }

  /** The content length of a body chunk in bytes; 0 for a request head. */
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
