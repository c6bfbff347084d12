package edgegateway.node.connections;

import java.util.HashMap;
import java.util.Map;

/**
 * The bound on bodies that are held whole, for all requests together. Each customer may hold as
 * much as is left free twice over (a dynamic threshold): one alone gets two thirds of it, and
 * however many hold much, a part stays free for those that hold little. Nobody's bodies are taken
 * away for it.
 */
public final class BufferedBodies {
  /** Whose customer can't be read. */
  public static final long STRANGER = -1;

  private static final int OF_FREE = 2;
  private final ConnectionMetrics counts;
  private final Map<Long, Long> held = new HashMap<>();
  private long total;
  private int most;

  /** Nothing is held. */
  public BufferedBodies(ConnectionMetrics counts) {
    this.counts = counts;
  }

  /** Follows a new budget. */
  public void bound(DescriptorBudget budget) {
    most = budget.heldBytes();
  }

  /** Whether less than half of all is held: what need not be read may be. */
  public boolean spare() {
    return 2 * total < most;
  }

  /** A body of this customer, nothing of which is held yet. */
  public Body open(long customer) {
    return new Body(customer);
  }

  /** What is held of one body. */
  public final class Body {
    private final long customer;
    private long bytes;

    private Body(long customer) {
      this.customer = customer;
    }

    /**
     * Holds so many bytes in all from now on; false, and nothing changed, if there is no room for
     * that.
     */
    public boolean hold(int wanted) {
      long more = wanted - bytes;
      if (more > 0 && held.getOrDefault(customer, 0L) + more > OF_FREE * (most - total)) {
        counts.bodiesRefused.incrementAndGet();
        return false;
      }
      keep(wanted);
      return true;
    }

    /** Holds so many bytes in all from now on, whether there is room or not: they are here. */
    public void keep(int wanted) {
      long more = wanted - bytes;
      set(held.getOrDefault(customer, 0L) + more);
      total += more;
      bytes = wanted;
      counts.heldBytes.set(total);
    }

    private void set(long mine) {
      if (mine == 0) {
        held.remove(customer);
      } else {
        held.put(customer, mine);
      }
    }

    /** Holds nothing any more; may be repeated. */
    public void release() {
      keep(0);
    }
  }
}
