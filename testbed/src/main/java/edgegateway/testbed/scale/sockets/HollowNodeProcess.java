package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.processes.ProcessUsage;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The process of the hollow edge nodes, as its parent sees it. It ends with {@link #close()} or
 * with this process.
 */
final class HollowNodeProcess implements AutoCloseable {
  private static final String CONFIGURATIONS = "hollow.jsonl";
  private static final String LOG = "hollow.log";
  private static final int KILL_S = 5;
  private static final int ANSWER_S = 10;

  /** Sum and most of a figure over all nodes. */
  record Figure(long sum, long most) {}

  /**
   * When a node's list was first seen to be of a version, in nanoseconds of the machine's clock.
   */
  interface Listing {
    void listed(int node, long revision, long at);
  }

  private final Process process;
  private final BlockingQueue<String> said = new LinkedBlockingQueue<>();
  private final Map<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final Listing listing;

  /**
   * Starts the process; its nodes begin to listen one after the other.
   *
   * @param configurations one for each node, each on a line
   * @param heapMb the most that its heap may grow to
   * @param folder where its configurations and its log go
   */
  HollowNodeProcess(
      List<String> configurations, int loops, long heapMb, Path folder, Listing listing)
      throws IOException {
    this.listing = listing;
    Path file = folder.resolve(CONFIGURATIONS);
    Files.write(file, configurations);
    // Compiled and collected as a real node's process.
    process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMb + "m",
                "-XX:MaxDirectMemorySize=512m",
                "-XX:+ExitOnOutOfMemoryError",
                "-Dio.netty.leakDetection.level=disabled",
                "-cp",
                System.getProperty("java.class.path"),
                HollowNodeMain.class.getName(),
                file.toString(),
                Integer.toString(loops))
            .redirectErrorStream(true)
            .start();
    Thread reader = new Thread(() -> read(folder.resolve(LOG)), "log of the hollow nodes");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(Path log) {
    try (BufferedReader lines = process.inputReader();
        BufferedWriter to = Files.newBufferedWriter(log)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith(HollowNodeMain.MARK)) {
          heard(line.substring(HollowNodeMain.MARK.length()).split(" "));
        } else {
          to.write(line);
          to.newLine();
        }
      }
    } catch (IOException | UncheckedIOException e) {
      // The process was ended in the middle of a line.
    }
    said.add(HollowNodeMain.BROKEN + " ended");
  }

  private void heard(String[] words) {
    switch (words[0]) {
      case HollowNodeMain.SERVING ->
          addresses.put(
              Integer.parseInt(words[1]),
              new InetSocketAddress("127.0.0.1", Integer.parseInt(words[2])));
      case HollowNodeMain.LISTED ->
          listing.listed(
              Integer.parseInt(words[1]), Long.parseLong(words[2]), Long.parseLong(words[3]));
      default -> said.add(String.join(" ", words));
    }
  }

  private String next(long seconds, String wanted) throws IOException, InterruptedException {
    String line = said.poll(seconds, TimeUnit.SECONDS);
    if (line == null || !line.startsWith(wanted)) {
      throw new IOException(
          "hollow nodes: " + (line == null ? "nothing said in " + seconds + " s" : line));
    }
    return line;
  }

  /** Returns when all listen; fails if that takes longer, or one can't be started. */
  void ready(long seconds) throws IOException, InterruptedException {
    next(seconds, HollowNodeMain.READY);
  }

  /** Where clients reach one, by its place among the configurations. */
  InetSocketAddress address(int node) {
    return addresses.get(node);
  }

  /** What operators read, over all nodes. */
  Map<String, Figure> figures() throws IOException, InterruptedException {
    OutputStream to = process.getOutputStream();
    to.write((HollowNodeMain.FIGURES + "\n").getBytes(StandardCharsets.US_ASCII));
    to.flush();
    Map<String, Figure> figures = new TreeMap<>();
    for (String word : next(ANSWER_S, HollowNodeMain.FIGURES).split(" ")) {
      String[] parts = word.split("=");
      if (parts.length == 3) {
        figures.put(parts[0], new Figure(Long.parseLong(parts[1]), Long.parseLong(parts[2])));
      }
    }
    return figures;
  }

  /** What the process has used. */
  ProcessUsage usage() throws IOException {
    return ProcessUsage.of(process.pid());
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(KILL_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
