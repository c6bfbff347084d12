package edgegateway.node.connections;

import edgegateway.node.discovery.WatchScheduler;
import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.List;

/**
 * How a process divides its file descriptors, and the bytes of bodies that it buffers. The
 * processes of a node share the node's descriptors, but each needs those for its own files, event
 * loops and connections to counter and discovery.
 *
 * @param clients connections of clients, beyond which one is evicted for the next
 * @param rejectionSlots further ones, while room is made or a rejection is written
 * @param upstreams connections to all archive servers together
 * @param perUpstream connections to one archive server
 * @param operators connections at the operators' address
 * @param bufferedBytes bytes of bodies that are buffered whole
 * @param idleTimeoutNanos after which a client's connection between requests is closed
 * @param clamped a line for each limit that the configuration sets higher than there is room for
 */
public record DescriptorBudget(
    int clients,
    int rejectionSlots,
    int upstreams,
    int perUpstream,
    int operators,
    int bufferedBytes,
    long idleTimeoutNanos,
    List<String> clamped) {
  /** Standard streams, class archive, slots, three event loops, listening sockets, open files. */
  static final int RESERVED_DESCRIPTORS = 23;

  /** Four, and as many again while a new address is followed. */
  static final int COUNTER_CONNECTIONS = 8;

  /** All watches that may be open at once. */
  static final int DISCOVERY_CONNECTIONS = WatchScheduler.MAX_OPEN_WATCHES;

  private static final int MIN_CLIENTS = 8;
  private static final int MIN_REJECTION_SLOTS = 2;
  private static final int MIN_UPSTREAMS = 4;
  private static final int MIN_OPERATORS = 4;
  private static final int MAX_OPERATORS = 32;

  /** One connection of operators to this many descriptors. */
  private static final int DESCRIPTORS_PER_OPERATOR = 32;

  /** Of what is left. A third of all descriptors serves clients' requests; others may come too. */
  private static final double CLIENT_FRACTION = 0.6;

  private static final double REJECTION_SLOT_FRACTION = 0.1;

  /** One archive server may have this many times its even part of the connections. */
  private static final int UNEVEN_LOAD_FACTOR = 4;

  private static final int MAX_BUFFERED_BYTES = 12 << 20;

  /**
   * The part of the direct memory that buffered bodies may take, in eighths. Long bodies that are
   * forwarded have a quarter of it, reads the rest.
   */
  private static final int BUFFERED_MEMORY_EIGHTHS = 3;

  private static final int EIGHTHS = 8;
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 75_000_000_000L;

  /**
   * Divides a node's descriptors.
   *
   * @param limits what the configuration sets
   * @param descriptors of the node, for sockets and files
   * @param processes of the node, which share them evenly
   * @param endpoints how many archive servers are listed
   */
  public static DescriptorBudget of(
      ConnectionLimits limits, int descriptors, int processes, int endpoints) {
    List<String> clamped = new ArrayList<>();
    int operators =
        Math.max(MIN_OPERATORS, Math.min(MAX_OPERATORS, descriptors / DESCRIPTORS_PER_OPERATOR));
    int available =
        descriptors / processes
            - RESERVED_DESCRIPTORS
            - COUNTER_CONNECTIONS
            - DISCOVERY_CONNECTIONS
            - operators;
    int maxClients = Math.max(MIN_CLIENTS, (int) (available * CLIENT_FRACTION));
    int clients = clamp("clients", limits.clients(), maxClients, clamped);
    int rejectionSlots = Math.max(MIN_REJECTION_SLOTS, (int) (available * REJECTION_SLOT_FRACTION));
    int maxUpstreams = Math.max(MIN_UPSTREAMS, available - clients - rejectionSlots);
    int upstreams = upstreams(limits, available, maxUpstreams, clamped);
    int perUpstream = perUpstream(limits, upstreams, endpoints, clamped);
    int bufferedBytes = clamp("held-bytes", limits.bufferedBytes(), maxBufferedBytes(), clamped);
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
        List.copyOf(clamped));
  }

  private static int upstreams(
      ConnectionLimits limits, int available, int max, List<String> clamped) {
    if (limits.upstreams() > 0) {
      return clamp("archive-servers", limits.upstreams(), max, clamped);
    }
    double fraction = 1 - CLIENT_FRACTION - REJECTION_SLOT_FRACTION;
    return Math.min(max, Math.max(MIN_UPSTREAMS, (int) (available * fraction)));
  }

  private static int perUpstream(
      ConnectionLimits limits, int upstreams, int endpoints, List<String> clamped) {
    if (limits.perUpstream() > 0) {
      return clamp("per-archive-server", limits.perUpstream(), upstreams, clamped);
    }
    int unevenPart = UNEVEN_LOAD_FACTOR * upstreams / Math.max(1, endpoints);
    return Math.min(upstreams, Math.max(UNEVEN_LOAD_FACTOR, unevenPart));
  }

  private static int maxBufferedBytes() {
    long memoryPart = PlatformDependent.maxDirectMemory() / EIGHTHS * BUFFERED_MEMORY_EIGHTHS;
    return (int) Math.min(MAX_BUFFERED_BYTES, memoryPart);
  }

  /** The limit that is set, or the most that there is room for if none is set or it is higher. */
  private static int clamp(String key, int limit, int max, List<String> clamped) {
    if (limit > max) {
      String given = "connections." + key + " is " + limit;
      clamped.add(given + ", more than there is room for: " + max + " it is");
    }
    return limit > 0 ? Math.min(limit, max) : max;
  }
}
