package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.lifecycle.ClassArchive;
import edgegateway.node.logging.EventLog;
import edgegateway.node.operators.OperatorServer;
import edgegateway.simulator.SimulatorAdapter;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The program: {@code serve} runs a real edge node, {@code drill} the decisions on the simulator's
 * wire.
 */
public final class Main {
  private static final EventLog LOG = EventLog.console();

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final long DRAIN_TIMEOUT_MINUTES = 1;

  private Main() {}

  /** Runs the command that is the one argument. */
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
      exit(EXIT_FAILED, e.getMessage());
    } catch (Exception e) {
      exit(EXIT_FAILED, "cannot start: " + e.getMessage());
    }
  }

  private static void serve(Path file) throws Exception {
    String text = NodeConfigParser.readText(file);
    NodeConfig config = NodeConfigParser.parse(text);
    EdgeNode node = new EdgeNode(config, sharedFolder());
    boolean upgrade = node.slots.isOtherProcessAlive();
    if (config.operators() != null) {
      OperatorServer operators = new OperatorServer(node.operatorCommands(), config.operators());
      LOG.info("operators_listening", field("address", operators.address()));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(node), "stop"));
    new ConfigurationReloader(node, file, LOG).follow(text);
    if (upgrade) {
      startInUpgrade(node, config);
    } else {
      startAlone(node, config);
    }
  }

  /** Null if nothing outlives the process. */
  private static Path sharedFolder() {
    String folder = System.getenv("TMPDIR");
    return folder == null || folder.isEmpty() ? null : Path.of(folder);
  }

  /**
   * Whoever still comes after a restart is served while the code warms up; the front sends all
   * again when that is done.
   */
  private static void startAlone(EdgeNode node, NodeConfig config) throws Exception {
    node.start();
    if (!node.stopping()) {
      logServing(node);
      warmUp(config);
      node.admit();
    }
  }

  /** The other process serves while the code warms up. */
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
      // A node that starts slowly is still one that serves.
      LOG.warn("warm_up_failed", field("error", e));
    }
  }

  /**
   * Ends a planned restart with 0: the platform reads any other status as a failure of the node.
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

  /** Ends the process with one plain line, which names the key if it is about the configuration. */
  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
