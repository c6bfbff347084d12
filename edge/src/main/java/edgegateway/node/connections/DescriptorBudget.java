package edgegateway.node.connections;

import edgegateway.node.discovery.WatchScheduler;
import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.List;

/**
 * The one budget of descriptors of a process, and of the bytes of bodies that are held. All
 * processes of an edge node share its descriptors, but each needs those of its own files, loops and
 * lines to counter and discovery.
 *
 * @param clients connections of clients, before one has to give way for the next
 * @param lane further ones, for newcomers while room is made or a refusal is written
 * @param archiveServers connections to all archive servers
 * @param perArchiveServer connections to one of them at the most
 * @param operators callers at the operators' address
 * @param heldBytes bytes of bodies that are held whole
 * @param idle nanoseconds for which a client's connection may stay between requests
 * @param clamped what was set higher than can be given: a line each
 */
public record DescriptorBudget(
    int clients,
    int lane,
    int archiveServers,
    int perArchiveServer,
    int operators,
    int heldBytes,
    long idle,
    List<String> clamped) {
  /**
   * Standard streams, class archive, slots, two loops and the warm-up's, listening sockets, files
   * being read.
   */
  static final int RESERVE = 23;

  /**
   * Four lines, and as many again while a new address is followed; all watches that may be open at
   * once.
   */
  static final int COUNTER = 8;

  static final int DISCOVERY = WatchScheduler.MAX_OPEN_WATCHES;

  private static final int LEAST_CLIENTS = 8;
  private static final int LEAST_LANE = 2;
  private static final int LEAST_SERVERS = 4;
  private static final int LEAST_OPERATORS = 4;
  private static final int MOST_OPERATORS = 32;

  /** Of what is left: clients hold a third of all descriptors for requests, and others may come. */
  private static final double CLIENTS = 0.6;

  private static final double LANE = 0.1;

  /** So many times an even part of the connections may go to one archive server. */
  private static final int UNEVEN = 4;

  private static final int HELD = 12 << 20;
  private static final long IDLE = 75_000_000_000L;

  /**
   * What each of so many processes may hold of an edge node's descriptors, with so many archive
   * servers listed.
   */
  public static DescriptorBudget of(
      ConnectionLimits limits, int sockets, int processes, int listed) {
    List<String> clamped = new ArrayList<>();
    int operators = Math.max(LEAST_OPERATORS, Math.min(MOST_OPERATORS, sockets / 32));
    int left = sockets / processes - RESERVE - COUNTER - DISCOVERY - operators;
    int clients =
        clamp(
            "clients", limits.clients(), Math.max(LEAST_CLIENTS, (int) (left * CLIENTS)), clamped);
    int lane = Math.max(LEAST_LANE, (int) (left * LANE));
    int room = Math.max(LEAST_SERVERS, left - clients - lane);
    int servers =
        limits.archiveServers() > 0
            ? clamp("archive-servers", limits.archiveServers(), room, clamped)
            : Math.min(room, Math.max(LEAST_SERVERS, (int) (left * (1 - CLIENTS - LANE))));
    int even = Math.min(servers, Math.max(UNEVEN, UNEVEN * servers / Math.max(1, listed)));
    int per =
        limits.perArchiveServer() > 0
            ? clamp("per-archive-server", limits.perArchiveServer(), servers, clamped)
            : even;
    // Half of the buffers' memory at the most: long bodies on their way have a quarter, reads the
    // rest.
    int memory = (int) Math.min(HELD, PlatformDependent.maxDirectMemory() / 8 * 3);
    int held = clamp("held-bytes", limits.heldBytes(), memory, clamped);
    return new DescriptorBudget(
        clients,
        lane,
        servers,
        per,
        operators,
        held,
        limits.idle() > 0 ? limits.idle() : IDLE,
        List.copyOf(clamped));
  }

  private static int clamp(String key, int set, int most, List<String> clamped) {
    if (set > most) {
      clamped.add(
          "connections."
              + key
              + " is "
              + set
              + ", more than there is room for: "
              + most
              + " it is");
    }
    return set > 0 ? Math.min(set, most) : most;
  }
}
