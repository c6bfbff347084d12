package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Tells which signals a process ignores. If SIGHUP, SIGINT or SIGTERM is ignored when the JVM
 * starts, the JVM keeps ignoring it, and {@link sun.misc.Signal#handle} has no effect and reports
 * no error. {@code nohup} and a shell's {@code trap ''} cause this: the disposition is inherited
 * through every exec.
 */
public final class SignalDispositions {
  /** Number of the hang-up signal on Linux (signal(7)). */
  public static final int SIGHUP = 1;

  /** Number of the termination signal on Linux (signal(7)). */
  public static final int SIGTERM = 15;

  private static final Path STATUS_FILE = Path.of("/proc/self/status");
  private static final String IGNORED_PREFIX = "SigIgn:";
  private static final int HEX_RADIX = 16;

  private final long ignoredMask;

  private SignalDispositions(long ignoredMask) {
    this.ignoredMask = ignoredMask;
  }

  /** Reads the dispositions of this process; if that fails, no signal counts as ignored. */
  public static SignalDispositions current() {
    try {
      return parse(Files.readString(STATUS_FILE));
    } catch (IOException e) {
      return parse("");
    }
  }

  /**
   * Parses the content of {@code /proc/PID/status} (proc(5)), in which the ignored signals are a
   * hexadecimal mask with the lowest bit for signal 1. Without that line no signal counts as
   * ignored.
   */
  public static SignalDispositions parse(String status) {
    for (String line : status.split("\n")) {
      if (line.startsWith(IGNORED_PREFIX)) {
        String mask = line.substring(IGNORED_PREFIX.length()).strip();
        return new SignalDispositions(Long.parseUnsignedLong(mask, HEX_RADIX));
      }
    }
    return new SignalDispositions(0);
  }

  /** Whether the signal of this number is ignored. */
  public boolean isIgnored(int signal) {
    return (ignoredMask >>> signal - 1 & 1) != 0;
  }
}
