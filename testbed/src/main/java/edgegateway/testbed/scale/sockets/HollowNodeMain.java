package edgegateway.testbed.scale.sockets;

import edgegateway.node.EdgeNode;
import edgegateway.testbed.processes.OperatorClient;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The process of the hollow edge nodes: the program's own, on a few loops and without a warm-up. It
 * says on its standard output what its parent asked for, marked so that the nodes' logs can be told
 * from it, and ends with its standard input.
 */
public final class HollowNodeMain {
  /** Begins what is said to the parent. */
  static final String MARK = "@";

  static final String SERVING = "serving";
  static final String READY = "ready";
  static final String LISTED = "listed";
  static final String FIGURES = "figures";
  static final String BROKEN = "broken";

  /** So often each node's list is looked at. */
  private static final long LOOK_MS = 5;

  private final List<Hollow> nodes = new ArrayList<>();

  /** A node, and the version of its list when it was last looked at. */
  private static final class Hollow {
    private final int number;
    private final EdgeNode node;
    private long revision;

    Hollow(int number, EdgeNode node) {
      this.number = number;
      this.node = node;
    }
  }

  private HollowNodeMain() {}

  /** The file of configurations, one a line, and the number of loops. */
  public static void main(String[] args) throws Exception {
    HollowNodeMain main = new HollowNodeMain();
    try {
      main.start(Path.of(args[0]), Integer.parseInt(args[1]));
      main.listen();
    } catch (Exception e) {
      say(BROKEN, e.toString().lines().findFirst().orElse(""));
      throw e;
    } finally {
      // Its nodes have nothing to hand over.
      Runtime.getRuntime().halt(0);
    }
  }

  private static void say(String what, Object... values) {
    StringBuilder line = new StringBuilder(MARK).append(what);
    for (Object value : values) {
      line.append(' ').append(value);
    }
    System.out.println(line);
  }

  private void start(Path file, int loops) throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(loops, NioIoHandler.newFactory());
    List<EventLoop> all = new ArrayList<>();
    List<List<Hollow>> byLoop = new ArrayList<>();
    for (int i = 0; i < loops; i++) {
      all.add(group.next());
      byLoop.add(new ArrayList<>());
    }
    try (Stream<String> lines = Files.lines(file)) {
      for (String line : (Iterable<String>) lines::iterator) {
        int number = nodes.size();
        Hollow one = new Hollow(number, EdgeNode.onSharedLoop(all.get(number % loops), line));
        nodes.add(one);
        byLoop.get(number % loops).add(one);
      }
    }
    for (int i = 0; i < loops; i++) {
      List<Hollow> its = byLoop.get(i);
      all.get(i)
          .scheduleAtFixedRate(
              () -> its.forEach(HollowNodeMain::look), LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }
    for (Hollow one : nodes) {
      one.node.start();
      one.node.admit();
      say(SERVING, one.number, one.node.address().getPort());
    }
    say(READY);
  }

  private static void look(Hollow one) {
    long revision = one.node.endpointListRevision();
    if (revision != one.revision) {
      one.revision = revision;
      say(LISTED, one.number, revision, System.nanoTime());
    }
  }

  /**
   * Tells the sum over all nodes of each figure that operators read, and the most of each, whenever
   * it is asked.
   */
  private void listen() throws Exception {
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      Map<String, Long> sums = new TreeMap<>();
      Map<String, Long> most = new TreeMap<>();
      for (Hollow one : nodes) {
        OperatorClient.figures(one.node.operatorCommands().metricsText())
            .forEach(
                (name, value) -> {
                  sums.merge(name, value, Long::sum);
                  most.merge(name, value, Long::max);
                });
      }
      StringBuilder text = new StringBuilder();
      sums.forEach(
          (name, value) ->
              text.append(' ')
                  .append(name)
                  .append('=')
                  .append(value)
                  .append('=')
                  .append(most.get(name)));
      say(FIGURES + text);
    }
  }
}
