package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.lifecycle.ClassArchive;
import edgegateway.node.logging.EventLog;
import edgegateway.node.logging.LibraryLogHandler;
import edgegateway.node.operators.OperatorServer;
import edgegateway.simulator.SimulatorAdapter;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Entry point of the program: {@code serve} runs an edge node, {@code drill} runs the policy alone
 * over the simulator's protocol.
 */
public final class Main {
  private static final EventLog LOG = EventLog.console();

  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final long DRAIN_TIMEOUT_MINUTES = 1;

  private Main() {}

  /** Runs the command that the single argument names. */
  public static void main(String[] args) {
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> serve(System.getenv("GW_CONFIG"));
      case "drill" -> SimulatorAdapter.main(args);
      default -> exit(EXIT_USAGE, "usage: edge-gateway.jar serve|drill");
    }
  }

  private static void serve(String file) {
    if (file == null || file.isEmpty()) {
      exit(EXIT_USAGE, "GW_CONFIG must name the configuration file");
      return;
    }
    try {
      serve(Path.of(file));
    } catch (InvalidConfigException e) {
      exit(EXIT_FAILURE, e.getMessage());
    } catch (Exception e) {
      exit(EXIT_FAILURE, "cannot start: " + e.getMessage());
    }
  }

  private static void serve(Path file) throws Exception {
    LibraryLogHandler.install(LOG);
    String text = NodeConfigParser.readText(file);
    NodeConfig config = NodeConfigParser.parse(text);
    EdgeNode node = new EdgeNode(config, sharedFolder());
    boolean upgrade = node.slots.isOtherProcessAlive();
    if (config.operators() != null) {
      OperatorServer operators = new OperatorServer(node.operatorCommands(), config.operators());
      LOG.info("operators_listening", field("address", operators.address()));
    }
    // A process without its event loop would go on listening and answer nobody.
    node.loop
        .terminationFuture()
        .addListener(ended -> exit(EXIT_FAILURE, "the event loop ended: see library_message"));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node), "stop"));
    new ConfigurationReloader(node, file, LOG).start(text);
    if (upgrade) {
      startInUpgrade(node, config);
    } else {
      startAlone(node, config);
    }
  }

  /** The folder that the processes of this node share; null if {@code TMPDIR} is not set. */
  private static Path sharedFolder() {
    String folder = System.getenv("TMPDIR");
    return folder == null || folder.isEmpty() ? null : Path.of(folder);
  }

  /**
   * Starts without another process of this node. The node already serves clients that connect while
   * the code warms up; the load balancer sends clients again once the warm-up is complete.
   */
  private static void startAlone(EdgeNode node, NodeConfig config) throws Exception {
    node.start();
    if (!node.stopping()) {
      logServing(node);
      warmUp(config);
      node.admit();
    }
  }

  /** Starts as the new process of an upgrade: the old one serves while the code warms up. */
  private static void startInUpgrade(EdgeNode node, NodeConfig config) throws Exception {
    warmUp(config);
    node.startAsSuccessor();
    if (!node.stopping()) {
      logServing(node);
      node.importPredecessorState();
    }
  }

  private static void logServing(EdgeNode node) {
    LOG.info("serving", field("address", node.address()));
    LOG.info("class_archive", field("state", ClassArchive.inUse() ? "in_use" : "not_in_use"));
  }

  private static void warmUp(NodeConfig config) {
    try {
      WarmUp.run(config);
    } catch (Exception e) {
      // A node without warm-up is slow at first, but it serves.
      LOG.warn("warm_up_failed", field("error", e));
    }
  }

  /**
   * Drains the node and ends the process with status 0, because the platform takes any other status
   * of a planned restart for a failure of the node.
   */
  private static void drain(EdgeNode node) {
    try {
      node.stop().get(DRAIN_TIMEOUT_MINUTES, TimeUnit.MINUTES);
      LOG.info(
          "drained",
          field("longest_loop_stall_ms", node.metrics.longestLoopStallMillis()),
          field("longest_discovery_wait_ms", node.metrics.longestDiscoveryWaitMillis()));
      Runtime.getRuntime().halt(0);
    } catch (Exception e) {
      LOG.error("drain_failed", field("error", e));
    }
  }

  /**
   * Prints a line to standard error and ends the process at once. The line of a configuration error
   * names the key.
   */
  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
