package edgegateway.node.clients;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import java.util.function.BooleanSupplier;

/**
 * Sizes the reads of one client's connection: one read an iteration of the event loop, and a small
 * one unless a body is being received. The messages of a read are decoded at once, so this bounds
 * both the time that one connection takes from the others and the memory of its decoded heads.
 */
final class ClientReadBuffers extends DefaultMaxMessagesRecvByteBufAllocator {
  /** Several heads of usual length. */
  static final int HEAD_READ_BYTES = 2 * 1024;

  static final int BODY_READ_BYTES = 16 * 1024;

  private final BooleanSupplier receivingBody;
  private boolean lastReadWasFull;

  /**
   * Creates the allocator of one connection.
   *
   * @param receivingBody whether the next bytes belong to a body
   */
  ClientReadBuffers(BooleanSupplier receivingBody) {
    super(1);
    this.receivingBody = receivingBody;
  }

  /** Whether the last read left nothing in the socket; true before the first read. */
  boolean lastReadEmptiedSocket() {
    return !lastReadWasFull;
  }

  @SuppressWarnings("deprecation") // The interface declares no other type.
  @Override
  public Handle newHandle() {
    return new MaxMessageHandle() {
      @Override
      public int guess() {
        return receivingBody.getAsBoolean() ? BODY_READ_BYTES : HEAD_READ_BYTES;
      }

      @Override
      public void lastBytesRead(int bytes) {
        lastReadWasFull = bytes > 0 && bytes == attemptedBytesRead();
        super.lastBytesRead(bytes);
      }
    };
  }
}
