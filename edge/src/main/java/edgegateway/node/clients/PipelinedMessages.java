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
 * The queue of messages that were decoded on a connection behind the request in flight, or of a
 * long body before its attempt begins. A connection has to be read on to see its client disconnect;
 * this bounds how far. For the event loop's thread.
 */
final class PipelinedMessages {
  /** Up to this nothing is counted. */
  private static final int UNCOUNTED_BYTES = 4 * 1024;

  /** Beyond this nothing is read ahead; up to it, only while the capacity is half free. */
  private static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

  /** The memory that a head, a header or a piece of a body takes beside its bytes. */
  private static final int OVERHEAD_BYTES = 128;

  private final BufferedBodies bufferedBodies;
  private final ArrayDeque<HttpObject> queue = new ArrayDeque<>();
  private int queuedBytes;

  /** What is counted as buffered; null while nothing is. */
  private BufferedBodies.Body countedBytes;

  PipelinedMessages(BufferedBodies bufferedBodies) {
    this.bufferedBodies = bufferedBodies;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Takes the message over, with its reference. */
  void add(HttpObject message) {
    queue.add(message);
    queuedBytes += memoryBytes(message);
  }

  /** Removes the oldest message, whose reference the caller takes over; null if there is none. */
  HttpObject poll() {
    HttpObject message = queue.poll();
    if (message != null) {
      queuedBytes -= memoryBytes(message);
    }
    return message;
  }

  /** Whether the end of a body is in the queue. */
  boolean hasEndOfBody() {
    for (HttpObject message : queue) {
      if (message instanceof LastHttpContent) {
        return true;
      }
    }
    return false;
  }

  /**
   * Counts what is queued as buffered, on the account of a customer.
   *
   * @return whether no more should be read
   */
  boolean updateReadAhead(long customer) {
    if (queuedBytes > UNCOUNTED_BYTES && countedBytes == null) {
      countedBytes = bufferedBodies.newBody(customer);
    } else if (queuedBytes <= UNCOUNTED_BYTES && countedBytes != null) {
      countedBytes.release();
      countedBytes = null;
    }
    if (countedBytes == null) {
      return false;
    }
    countedBytes.resize(queuedBytes);
    return queuedBytes > MAX_READ_AHEAD_BYTES || !bufferedBodies.isLessThanHalfUsed();
  }

  /** Drops all messages. */
  void release() {
    while (!queue.isEmpty()) {
      ReferenceCountUtil.release(poll());
    }
    updateReadAhead(BufferedBodies.UNKNOWN_CUSTOMER);
  }

  /** The bytes of a body's piece; 0 for a head. */
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
