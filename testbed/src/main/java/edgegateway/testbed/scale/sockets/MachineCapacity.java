package edgegateway.testbed.scale.sockets;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import java.lang.management.ManagementFactory;
import java.util.Locale;

/**
 * Whether a size fits this machine, told before anything starts: half of its memory, some hundred
 * processes, the descriptors of a process, and the addresses of a list. Sizes of processes are
 * rounded up from what was measured.
 *
 * @param memory bytes that may be used
 * @param descriptors that a process may hold
 */
record MachineCapacity(long memory, long descriptors) {
  private static final long MB = 1 << 20;
  private static final long KB = 1 << 10;

  /** A real node's process with its heap full, and the lab's own without nodes. */
  private static final long REAL = 160 * MB;

  private static final long LAB = 600 * MB;

  /**
   * The hollow nodes' process without one; a hollow node without a list, and for each listed
   * server.
   */
  private static final long HOLLOW_PROCESS = 200 * MB;

  private static final long HOLLOW = 1 * MB;
  private static final long HOLLOW_SERVER = 2 * KB;

  /** The most real nodes, and the most servers of a list. */
  private static final int MOST_REAL = 100;

  private static final int MOST_SERVERS = 65_000;

  /**
   * Descriptors: of a process without nodes; lines of a node to discovery and the counter, and its
   * socket; those of its servers and clients.
   */
  private static final int PROCESS = 200;

  private static final int CONTROL = 8;
  private static final int LOADED = 500;

  /** As this machine has it, half of its memory. */
  static MachineCapacity here() {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new MachineCapacity(
        system.getTotalMemorySize() / 2,
        system instanceof UnixOperatingSystemMXBean unix
            ? unix.getMaxFileDescriptorCount()
            : Long.MAX_VALUE);
  }

  /** The heap that the hollow nodes of a size may need, in MB. */
  static long hollowHeapMb(SocketsSize size) {
    return (HOLLOW_PROCESS + size.hollow() * (HOLLOW + size.servers() * HOLLOW_SERVER)) / MB;
  }

  /** Refuses a size that does not fit, in one line with the figure. */
  void check(SocketsSize size) {
    refuse("real", size.real(), MOST_REAL, "");
    refuse("servers", size.servers(), MOST_SERVERS, "");
    refuse(
        "memory",
        (LAB + size.real() * REAL + (size.hollow() > 0 ? hollowHeapMb(size) * MB : 0)) / MB,
        memory / MB,
        " MB");
    int loaded =
        (size.realRequestsPerS() > 0 ? size.real() : 0)
            + (size.hollowRequestsPerS() > 0 ? size.hollow() : 0);
    refuse(
        "descriptors of the testbed's process",
        PROCESS + CONTROL * (size.real() + size.hollow()) + LOADED * loaded,
        descriptors,
        "");
    refuse(
        "descriptors of the hollow nodes' process",
        PROCESS
            + CONTROL * size.hollow()
            + (size.hollowRequestsPerS() > 0 ? LOADED * size.hollow() : 0),
        descriptors,
        "");
  }

  private static void refuse(String what, long wanted, long most, String unit) {
    if (wanted > most) {
      throw new IllegalArgumentException(
          String.format(
              Locale.ROOT,
              "%s: %d%s wanted, %d%s is the most here",
              what,
              wanted,
              unit,
              most,
              unit));
    }
  }
}
