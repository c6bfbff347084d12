package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Which signals this process ignores. The JVM leaves SIGHUP, SIGINT and SIGTERM alone if they were
 * ignored when it began, as {@code nohup} and a shell's {@code trap ''} hand them down through
 * every exec, and {@link sun.misc.Signal#handle} then does nothing and says nothing.
 */
public final class SignalDispositions {
  /** Number of the hang-up signal on Linux (signal(7)). */
  public static final int SIGHUP = 1;

  /** Number of the termination signal on Linux (signal(7)). */
  public static final int SIGTERM = 15;

  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String IGNORED = "SigIgn:";
  private static final int HEXADECIMAL = 16;

  private final long ignored;

  private SignalDispositions(long ignored) {
    this.ignored = ignored;
  }

  /** As the kernel tells them now; where it does not, none counts as ignored. */
  public static SignalDispositions current() {
    try {
      return parse(Files.readString(STATUS));
    } catch (IOException e) {
      return parse("");
    }
  }

  /**
   * Reads the text of {@code /proc/PID/status} (proc(5)): a mask in hexadecimal, the lowest bit for
   * signal 1.
   */
  public static SignalDispositions parse(String status) {
    for (String line : status.split("\n")) {
      if (line.startsWith(IGNORED)) {
        String mask = line.substring(IGNORED.length()).strip();
        return new SignalDispositions(Long.parseUnsignedLong(mask, HEXADECIMAL));
      }
    }
    return new SignalDispositions(0);
  }

  /** Whether a signal is ignored, by its number. */
  public boolean isIgnored(int signal) {
    return (ignored >>> signal - 1 & 1) != 0;
  }
}
