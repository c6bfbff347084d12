package edgegateway.node.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory for buffered data, over all requests: bodies of requests and responses, whether
 * complete or still arriving, and read-ahead (messages that a connection queues).
 *
 * <p>Each customer may buffer up to twice the free capacity (a dynamic threshold). A single
 * customer thus gets two thirds of the capacity c: its bytes x can grow until x = 2 (c - x).
 * However many customers buffer much, some capacity stays free for customers that buffer little.
 * Buffered data is never dropped to enforce the limit. Used on the event loop's thread only.
 */
public final class BufferedBodies {
  /**
   * Stands for the customer of a request whose customer cannot be parsed, and of messages that are
   * queued while their connection has no current request. Counts as one customer.
   */
  public static final long UNKNOWN_CUSTOMER = -1;

  /** A customer may buffer this many times the free capacity. */
  private static final int FREE_CAPACITY_MULTIPLE = 2;

  private final ConnectionMetrics metrics;
  private final Map<Long, Long> bytesByCustomer = new HashMap<>();
  private long totalBytes;
  private int capacityBytes;

  /** Creates an instance whose capacity is 0 until {@link #applyBudget}. */
  public BufferedBodies(ConnectionMetrics metrics) {
    this.metrics = metrics;
  }

  /** Sets the capacity from the budget; bytes already buffered over it stay. */
  public void applyBudget(DescriptorBudget budget) {
    capacityBytes = budget.bufferedBytes();
  }

  /** Whether less than half of the capacity is used, so that there is enough for read-ahead. */
  public boolean isLessThanHalfUsed() {
    return 2 * totalBytes < capacityBytes;
  }

  /** Creates the account of a body or a message queue of this customer, with size 0. */
  public Body newBody(long customer) {
    return new Body(customer);
  }

  private long bytesOf(long customer) {
    return bytesByCustomer.getOrDefault(customer, 0L);
  }

  /** The buffered bytes of one body, or of the messages that one connection queues. */
  public final class Body {
    private final long customer;
    private long bytes;

    private Body(long customer) {
      this.customer = customer;
    }

    /**
     * Changes the size of the buffered data; returns false and changes nothing if the size exceeds
     * the threshold.
     */
    public boolean tryResize(int newBytes) {
      long addedBytes = newBytes - bytes;
      long thresholdBytes = FREE_CAPACITY_MULTIPLE * (capacityBytes - totalBytes);
      if (addedBytes > 0 && bytesOf(customer) + addedBytes > thresholdBytes) {
        metrics.bodiesRejected.incrementAndGet();
        return false;
      }
      resize(newBytes);
      return true;
    }

    /** Changes the size regardless of the threshold, for bytes that are in memory already. */
    public void resize(int newBytes) {
      long addedBytes = newBytes - bytes;
      long customerBytes = bytesOf(customer) + addedBytes;
      if (customerBytes == 0) {
        bytesByCustomer.remove(customer);
      } else {
        bytesByCustomer.put(customer, customerBytes);
      }
      totalBytes += addedBytes;
      bytes = newBytes;
      metrics.bufferedBytes.set(totalBytes);
    }

    /** Sets the size to 0, because the data is no longer buffered. Idempotent. */
    public void release() {
      resize(0);
    }
  }
}
