package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.requests.BodyChunks;
import io.netty.buffer.ByteBuf;
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

  private record QueuedMessage(HttpObject message, long sentAtNanos) {}

  private final BufferedBodies bufferedBodies;
  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private int queuedBytes;

  /** The account that the queue's bytes are counted in; null while the queue is not counted. */
  private BufferedBodies.Body account;

  PipelinedMessages(BufferedBodies bufferedBodies) {
    this.bufferedBodies = bufferedBodies;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Adds a message and takes ownership of its reference.
   *
   * @param sentAtNanos the earliest time at which the client can have sent it
   */
  void add(HttpObject message, long sentAtNanos) {
    HttpObject compact = message instanceof HttpContent content ? compact(content) : message;
    queue.add(new QueuedMessage(compact, sentAtNanos));
    queuedBytes += memoryBytes(compact);
  }

  /** Takes ownership of the message; the caller owns the result. */
  private static HttpContent compact(HttpContent message) {
    ByteBuf content = BodyChunks.compact(message.content());
    if (content == message.content()) {
      return message;
    }
    HttpContent compact = message.replace(content);
    compact.setDecoderResult(message.decoderResult());
    return compact;
  }

  /** The earliest time at which the client can have sent the oldest message. */
  long oldestSentAtNanos() {
    return queue.element().sentAtNanos;
  }

  /**
   * Removes the oldest message and passes ownership of its reference to the caller; null if the
   * queue is empty.
   */
  HttpObject poll() {
    QueuedMessage oldest = queue.poll();
    if (oldest == null) {
      return null;
    }
    queuedBytes -= memoryBytes(oldest.message);
    return oldest.message;
  }

  /** Whether the queue contains the end of a body. */
  boolean hasEndOfBody() {
    for (QueuedMessage queued : queue) {
      if (queued.message instanceof LastHttpContent) {
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

  /** The memory that a message takes, in bytes; an estimate. */
  static int memoryBytes(HttpObject message) {
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
