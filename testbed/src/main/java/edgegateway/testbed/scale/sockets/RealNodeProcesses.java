package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.fleet.NodeConfigWriter;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.processes.NodeProcess;
import edgegateway.testbed.processes.NodeProcess.Signal;
import edgegateway.testbed.processes.OperatorClient;
import edgegateway.testbed.processes.ProcessGuard;
import edgegateway.testbed.processes.ProcessUsage;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Edge nodes as processes of their own, begun as the deploy file says. They end with {@link
 * #close()} or with this process.
 */
final class RealNodeProcesses implements AutoCloseable {
  private static final String SERVING = "serving address=";
  private static final String OPERATORS = "operators_listening address=";
  private static final String ENDED = "";
  private static final Pattern USABLE = Pattern.compile("usable=(\\d+)");
  private static final int HEALTH_MS = 2_000;
  private static final long LOOK_MS = 50;

  private static final class Real {
    private final NodeProcess process;
    private final List<String> log;
    private InetSocketAddress serving;
    private InetSocketAddress operators;

    Real(NodeProcess process, List<String> log) {
      this.process = process;
      this.log = log;
    }
  }

  private final ProcessGuard guard = new ProcessGuard();
  private final List<Real> nodes = new ArrayList<>();
  private final Path folder;

  /**
   * Starts all at once, one for each configuration, and returns when all take clients; fails if
   * that takes longer.
   */
  RealNodeProcesses(DeployFile deploy, List<String> configurations, Path folder, long seconds)
      throws IOException, InterruptedException {
    this.folder = folder;
    try {
      List<BlockingQueue<String>> serving = new ArrayList<>();
      for (String text : configurations) {
        serving.add(launch(deploy, text));
      }
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      for (int i = 0; i < nodes.size(); i++) {
        await(nodes.get(i), i, serving.get(i), until);
      }
    } catch (IOException | InterruptedException e) {
      close();
      throw e;
    }
  }

  private BlockingQueue<String> launch(DeployFile deploy, String text) throws IOException {
    Path own = Files.createDirectories(folder.resolve("n" + nodes.size()));
    Path config = own.resolve("config.json");
    Files.writeString(config, text);
    BlockingQueue<String> serving = new LinkedBlockingQueue<>();
    List<String> log = new CopyOnWriteArrayList<>();
    NodeProcess process =
        NodeProcess.start(
            deploy,
            Files.createDirectories(own.resolve("tmp")),
            Map.of("GW_CONFIG", config.toAbsolutePath().toString(), "GW_NAME", "n" + nodes.size()),
            guard,
            line -> {
              log.add(line.text());
              if (line.text().startsWith(SERVING)) {
                serving.add(line.text());
              }
            });
    process.ended().thenAccept(status -> serving.add(ENDED));
    nodes.add(new Real(process, log));
    return serving;
  }

  private static void await(Real node, int number, BlockingQueue<String> serving, long until)
      throws IOException, InterruptedException {
    String line = serving.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
    if (line == null || line.equals(ENDED)) {
      throw new IOException("n" + number + " does not listen: " + node.log);
    }
    node.serving = at(line);
    node.operators =
        at(
            node.log.stream()
                .filter(text -> text.startsWith(OPERATORS))
                .findFirst()
                .orElseThrow(
                    () -> new IOException("n" + number + " does not say where operators call")));
    while (!healthy(node)) {
      if (System.nanoTime() > until) {
        throw new IOException("n" + number + " is never ready: " + node.log);
      }
      Thread.sleep(LOOK_MS);
    }
  }

  private static InetSocketAddress at(String line) {
    return new InetSocketAddress(
        "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  private static boolean healthy(Real node) throws IOException {
    HttpURLConnection call =
        (HttpURLConnection)
            URI.create("http://" + NodeConfigWriter.text(node.serving) + "/_health")
                .toURL()
                .openConnection();
    call.setConnectTimeout(HEALTH_MS);
    call.setReadTimeout(HEALTH_MS);
    return call.getResponseCode() == HttpURLConnection.HTTP_OK;
  }

  /** Where clients reach one. */
  InetSocketAddress address(int node) {
    return nodes.get(node).serving;
  }

  /** What operators read of one. */
  Map<String, Long> figures(int node) throws IOException {
    return OperatorClient.figures(OperatorClient.call(nodes.get(node).operators, "vars"));
  }

  /** How many servers one may send to now; -1 if it does not say. */
  int usable(int node) {
    int usable = 0;
    try {
      for (Matcher zone = USABLE.matcher(OperatorClient.call(nodes.get(node).operators, "zones"));
          zone.find(); ) {
        usable += Integer.parseInt(zone.group(1));
      }
    } catch (IOException e) {
      return -1;
    }
    return usable;
  }

  /** What one's process has used. */
  ProcessUsage usage(int node) throws IOException {
    return ProcessUsage.of(nodes.get(node).process.pid());
  }

  /** Kills all, and leaves their logs in the folder. */
  @Override
  public void close() throws IOException {
    for (Real node : nodes) {
      node.process.signal(Signal.KILL);
    }
    guard.close();
    for (int i = 0; i < nodes.size(); i++) {
      Files.write(folder.resolve("n" + i).resolve("log"), nodes.get(i).log);
    }
  }
}
