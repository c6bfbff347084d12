package edgegateway.node.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the bytes of bodies that are buffered whole, for all requests together. Each customer may
 * hold up to twice what is free (a dynamic threshold): one customer alone gets two thirds of the
 * capacity, and however many hold much, some stays free for those that hold little. Nothing that is
 * buffered is ever dropped for it. For the event loop's thread.
 */
public final class BufferedBodies {
  /** Stands for the customer of a request whose customer cannot be read. */
  public static final long UNKNOWN_CUSTOMER = -1;

  /** A customer may hold this many times the free capacity. */
  private static final int FREE_CAPACITY_MULTIPLE = 2;

  private final ConnectionMetrics metrics;
  private final Map<Long, Long> bytesByCustomer = new HashMap<>();
  private long totalBytes;
  private int capacityBytes;

  /** Has no capacity until {@link #applyBudget}. */
  public BufferedBodies(ConnectionMetrics metrics) {
    this.metrics = metrics;
  }

  /** Takes its capacity from the budget; what is buffered beyond it stays. */
  public void applyBudget(DescriptorBudget budget) {
    capacityBytes = budget.bufferedBytes();
  }

  /** Whether less than half of the capacity is used, so that reading ahead does no harm. */
  public boolean isLessThanHalfUsed() {
    return 2 * totalBytes < capacityBytes;
  }

  /** A body of this customer, empty so far. */
  public Body newBody(long customer) {
    return new Body(customer);
  }

  private long bytesOf(long customer) {
    return bytesByCustomer.getOrDefault(customer, 0L);
  }

  /** The buffered bytes of one body. */
  public final class Body {
    private final long customer;
    private long bytes;

    private Body(long customer) {
      this.customer = customer;
    }

    /** Changes the body's size; false, with nothing changed, if that exceeds the threshold. */
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

    /** Changes the body's size whatever the threshold: the bytes are in memory already. */
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

    /** Nothing of the body is buffered any more. May be repeated. */
    public void release() {
      resize(0);
    }
  }
}
