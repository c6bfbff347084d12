package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** A process of the node with the JVM options of the deploy file, and its planned restart. */
final class DeployedNode {
  /** The longest deadline of the platform and 0.7 s. */
  private static final int KILL_AFTER_MILLIS = 3_700;

  private static final String JVM_OPTIONS =
      "JAVA_TOOL_OPTIONS=-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms28m -Xmx48m -Xmn12m"
          + " -Xss512k -XX:MaxDirectMemorySize=32m -XX:ReservedCodeCacheSize=24m"
          + " -Dio.netty.leakDetection.level=disabled -XX:+ExitOnOutOfMemoryError";

  private final Process process;
  private final InetSocketAddress address;
  private final Queue<String> log = new ConcurrentLinkedQueue<>();
  private volatile long stoppedNanos = Long.MAX_VALUE;
  private volatile long killedNanos = Long.MAX_VALUE;

  /**
   * Starts a process; returns when its warm-up is complete.
   *
   * @param folder where its files are written
   */
  DeployedNode(NodeTest test, Path folder, String config) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), config);
    Path shared = Files.createDirectory(folder.resolve("shared"));
    process = test.startProcess(file, List.of("env", JVM_OPTIONS, "TMPDIR=" + shared));
    address = NodeTest.awaitListenAddress(process);
    NodeTest.nextLogLine(process, "warmed_up");
    FakePeer.startDaemon(() -> process.inputReader().lines().forEach(log::add));
  }

  InetSocketAddress address() {
    return address;
  }

  /** What the process has logged about a request since its warm-up. */
  List<String> logOf(String requestId) {
    return log.stream().filter(line -> line.contains(" id=" + requestId + " ")).toList();
  }

  void sendSignal(String name) throws Exception {
    NodeTest.sendSignal(process, name);
  }

  /** The highest memory that the process has taken so far. */
  long peakMemoryMb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
      }
    }
    throw new IOException("no peak memory");
  }

  /** Begins the planned restart. */
  void stop() throws Exception {
    assertTrue(process.isAlive(), "the process ended by itself");
    sendSignal("TERM");
    stoppedNanos = System.nanoTime();
  }

  /** Waits until the process may be killed, or has ended, and kills it. */
  void killAsEarlyAsAllowed() throws Exception {
    long leftNanos =
        stoppedNanos + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_MILLIS) - System.nanoTime();
    boolean exited = process.waitFor(leftNanos, TimeUnit.NANOSECONDS);
    killedNanos = System.nanoTime();
    NodeTest.kill(process);
    assertEquals(0, exited ? process.exitValue() : 0, "status of a planned end");
  }

  /** When the process got SIGTERM; {@link Long#MAX_VALUE} before that. */
  long stoppedNanos() {
    return stoppedNanos;
  }

  /** When the process was killed; {@link Long#MAX_VALUE} before that. */
  long killedNanos() {
    return killedNanos;
  }
}
