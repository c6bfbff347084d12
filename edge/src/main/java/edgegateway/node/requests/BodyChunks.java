package edgegateway.node.requests;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Chunks of bodies that are kept in memory. A decoded chunk is a part of the buffer that was read
 * and keeps all of it allocated.
 */
public final class BodyChunks {
  /** A shorter chunk is copied. */
  private static final int MIN_SHARED_BYTES = 4 * 1024;

  private BodyChunks() {}

  /**
   * Returns a chunk that allocates little more than its content. Takes ownership of {@code chunk};
   * the caller owns the result.
   */
  public static ByteBuf compact(ByteBuf chunk) {
    if (chunk.readableBytes() >= MIN_SHARED_BYTES || chunk.capacity() == 0) {
      return chunk;
    }
    try {
      return Unpooled.copiedBuffer(chunk);
    } finally {
      chunk.release();
    }
  }
}
