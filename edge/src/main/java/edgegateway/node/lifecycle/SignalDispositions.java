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
  /** Signals' numbers on Linux (signal(7)). */
  public static final int HUP = 1;

  public static final int TERM = 15;

  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String IGNORED = "SigIgn:";

  private final long ignored;

  private SignalDispositions(long ignored) {
    this.ignored = ignored;
  }

  /** As the kernel tells them now; where it does not, none counts as ignored. */
  public static SignalDispositions now() {
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
    return new SignalDispositions(
        status
            .lines()
            .filter(line -> line.startsWith(IGNORED))
            .findFirst()
            .map(line -> Long.parseUnsignedLong(line.substring(IGNORED.length()).strip(), 16))
            .orElse(0L));
  }

  public boolean ignored(int signal) {
    return (ignored >>> signal - 1 & 1) != 0;
  }
}
