package edgegateway.node.connections;

import edgegateway.node.discovery.WatchScheduler;
import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.List;

/**
 * How a process allocates its file descriptors to kinds of connections, and its limit for buffered
 * bodies. The processes of a node share the node's descriptors, but each process needs descriptors
 * for its own files, event loops and connections to the counter and to discovery.
 *
 * @param clients maximum client connections; above that, one is evicted for each new one
 * @param rejectionSlots extra client connections, for the time of an eviction or a rejection
 * @param upstreams maximum connections to all upstreams together
 * @param perUpstream maximum connections to one upstream
 * @param operators maximum connections at the operators' address
 * @param bufferedBytes maximum bytes of buffered bodies and read-ahead
 * @param idleTimeoutNanos time after which an idle client connection is closed
 * @param clampWarnings a message for each configured limit that exceeds the available capacity
 */
public record DescriptorBudget(
    int clients,
    int rejectionSlots,
    int upstreams,
    int perUpstream,
    int operators,
    int bufferedBytes,
    long idleTimeoutNanos,
    List<String> clampWarnings) {
  /**
   * For the standard streams, the class archive, the lock file of the process slots, the selectors
   * of three event loops, the listening sockets for clients and operators, and other files that the
   * process opens, together. The third event loop, besides those of the node and of the operators'
   * address, exists during the warm-up.
   */
  static final int RESERVED_DESCRIPTORS = 23;

  /** Four connections, and another four during a switch to a new address of the counter. */
  static final int COUNTER_CONNECTIONS = 8;

  /** One for each watch that may be open at the same time. */
  static final int DISCOVERY_CONNECTIONS = WatchScheduler.MAX_OPEN_WATCHES;

  private static final int MIN_CLIENTS = 8;
  private static final int MIN_REJECTION_SLOTS = 2;
  private static final int MIN_UPSTREAMS = 4;
  private static final int MIN_OPERATORS = 4;
  private static final int MAX_OPERATORS = 32;

  /** The operators' address gets one connection for each this many descriptors. */
  private static final int DESCRIPTORS_PER_OPERATOR = 32;

  /**
   * Client connections' fraction of the available descriptors: those that remain after the reserved
   * ones and the connections to the counter, to discovery and at the operators' address. Twice the
   * fraction that remains for upstream connections (0.3): at most about a third of the available
   * descriptors are client connections with a request in flight at an upstream, and the rest of the
   * fraction allows further connections, which are idle or whose requests wait.
   */
  private static final double CLIENT_FRACTION = 0.6;

  /** Fraction of the available descriptors, as for {@link #CLIENT_FRACTION}. */
  private static final double REJECTION_SLOT_FRACTION = 0.1;

  /**
   * One upstream may have this many times its even share of the upstream connections. Also the
   * minimum number of connections allowed to one upstream, as if its even share were at least one.
   */
  private static final int UNEVEN_LOAD_FACTOR = 4;

  private static final int MAX_BUFFERED_BYTES = 12 << 20;
  private static final int MAX_RELAY_BYTES = 8 << 20;

  /** Of a process's memory, what the JVM takes itself: code, classes, threads and a small heap. */
  private static final long JVM_MEMORY_BYTES = 64L << 20;

  /** Buffered bodies get this part (1/n) of the rest; heap and reads may grow into the others. */
  private static final int MEMORY_PER_BUFFERED = 8;

  private static final int MEMORY_PER_RELAYED = 12;
  private static final long MIN_BUFFERED_BYTES = 512 << 10;

  /**
   * Buffered bodies and read-ahead get 3/8 of the direct memory. Long bodies that are forwarded
   * while they arrive get a quarter of the direct memory, and socket reads the rest.
   */
  private static final int BUFFERED_MEMORY_NUMERATOR = 3;

  private static final int BUFFERED_MEMORY_DENOMINATOR = 8;
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 75_000_000_000L;

  /**
   * Computes the budget of one process.
   *
   * @param limits the configured limits
   * @param descriptors the node's file descriptors, for sockets and files
   * @param memoryBytes the node's memory
   * @param processes the number of the node's processes, which share descriptors and memory evenly
   * @param endpoints the number of listed archive servers
   */
  public static DescriptorBudget of(
      ConnectionLimits limits, int descriptors, long memoryBytes, int processes, int endpoints) {
    List<String> clampWarnings = new ArrayList<>();
    int operators =
        Math.max(MIN_OPERATORS, Math.min(MAX_OPERATORS, descriptors / DESCRIPTORS_PER_OPERATOR));
    int available =
        descriptors / processes
            - RESERVED_DESCRIPTORS
            - COUNTER_CONNECTIONS
            - DISCOVERY_CONNECTIONS
            - operators;
    int maxClients = Math.max(MIN_CLIENTS, (int) (available * CLIENT_FRACTION));
    int clients = clamp("clients", limits.clients(), maxClients, clampWarnings);
    int rejectionSlots = Math.max(MIN_REJECTION_SLOTS, (int) (available * REJECTION_SLOT_FRACTION));
    int maxUpstreams = Math.max(MIN_UPSTREAMS, available - clients - rejectionSlots);
    int upstreams = upstreams(limits, available, maxUpstreams, clampWarnings);
    int perUpstream = perUpstream(limits, upstreams, endpoints, clampWarnings);
    int bufferedBytes =
        clamp(
            "held-bytes",
            limits.bufferedBytes(),
            maxBufferedBytes(memoryBytes / processes),
            clampWarnings);
    long idleTimeoutNanos =
        limits.idleTimeoutNanos() > 0 ? limits.idleTimeoutNanos() : DEFAULT_IDLE_TIMEOUT_NANOS;
    return new DescriptorBudget(
        clients,
        rejectionSlots,
        upstreams,
        perUpstream,
        operators,
        bufferedBytes,
        idleTimeoutNanos,
        List.copyOf(clampWarnings));
  }

  private static int upstreams(
      ConnectionLimits limits, int available, int max, List<String> clampWarnings) {
    if (limits.upstreams() > 0) {
      return clamp("archive-servers", limits.upstreams(), max, clampWarnings);
    }
    double fraction = 1 - CLIENT_FRACTION - REJECTION_SLOT_FRACTION;
    return Math.min(max, Math.max(MIN_UPSTREAMS, (int) (available * fraction)));
  }

  private static int perUpstream(
      ConnectionLimits limits, int upstreams, int endpoints, List<String> clampWarnings) {
    if (limits.perUpstream() > 0) {
      return clamp("per-archive-server", limits.perUpstream(), upstreams, clampWarnings);
    }
    int unevenShare = UNEVEN_LOAD_FACTOR * upstreams / Math.max(1, endpoints);
    return Math.min(upstreams, Math.max(UNEVEN_LOAD_FACTOR, unevenShare));
  }

  private static int maxBufferedBytes(long processMemoryBytes) {
    long directMemoryBytes =
        PlatformDependent.maxDirectMemory()
            / BUFFERED_MEMORY_DENOMINATOR
            * BUFFERED_MEMORY_NUMERATOR;
    long bytes = Math.min(directMemoryBytes, partOf(processMemoryBytes, MEMORY_PER_BUFFERED));
    return (int) Math.min(MAX_BUFFERED_BYTES, bytes);
  }

  /**
   * The maximum bytes in flight of long bodies that are forwarded while they arrive.
   *
   * @param memoryBytes the node's memory
   * @param processes the number of the node's processes, which share the memory evenly
   */
  public static int maxRelayBytes(long memoryBytes, int processes) {
    return (int) Math.min(MAX_RELAY_BYTES, partOf(memoryBytes / processes, MEMORY_PER_RELAYED));
  }

  private static long partOf(long processMemoryBytes, int divisor) {
    return Math.max(MIN_BUFFERED_BYTES, (processMemoryBytes - JVM_MEMORY_BYTES) / divisor);
  }

  /** The configured limit, at most the maximum; the maximum if no limit is configured. */
  private static int clamp(String key, int limit, int max, List<String> clampWarnings) {
    if (limit > max) {
      String given = "connections." + key + " is " + limit;
      clampWarnings.add(
          given + ", which exceeds the available capacity: using " + max + " instead");
    }
    return limit > 0 ? Math.min(limit, max) : max;
  }
}
