package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.lifecycle.ClassArchive;
import edgegateway.node.lifecycle.ConfigFileWatcher;
import edgegateway.node.lifecycle.SignalDispositions;
import edgegateway.node.logging.EventLog;
import edgegateway.node.operators.OperatorServer;
import edgegateway.simulator.SimulatorAdapter;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;

/**
 * The program: {@code serve} runs a real edge node, {@code drill} the decisions on the simulator's
 * wire.
 */
public final class Main {
  private static final EventLog LOG = EventLog.console();

  /** How often a new configuration that cannot be used is looked at again, and how soon. */
  private static final int LOOKS = 20;

  private static final int LOOK_MS = 100;

  private Main() {}

  /** Picks the word. */
  public static void main(String[] args) {
    switch (args.length == 1 ? args[0] : "") {
      case "serve" -> serve(System.getenv("GW_CONFIG"));
      case "drill" -> SimulatorAdapter.main(args);
      default -> exit(2, "usage: edge-gateway.jar serve|drill");
    }
  }

  private static void serve(String file) {
    if (file == null || file.isEmpty()) {
      exit(2, "GW_CONFIG must name the configuration file");
      return;
    }
    try {
      String text = NodeConfigParser.readText(Path.of(file));
      NodeConfig config = NodeConfigParser.parse(text);
      String folder = System.getenv("TMPDIR");
      EdgeNode node =
          new EdgeNode(config, folder == null || folder.isEmpty() ? null : Path.of(folder));
      boolean upgrade = node.slots.otherLives();
      if (config.ops() != null) {
        System.out.println(
            "operators call at "
                + new OperatorServer(node.operatorCommands(), config.ops()).address());
      }
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
      followConfiguration(node, file, text);
      // Whoever still comes after a restart is served while the code warms up; the front sends all
      // again when
      // that is done. In an upgrade the other process serves them meanwhile.
      if (upgrade) {
        warmUp(config);
        node.startAsSuccessor();
      } else {
        node.start();
      }
      if (node.stopping()) {
        return;
      }
      System.out.println("serving on " + node.address());
      System.out.println(
          "class archive: " + (ClassArchive.inUse() ? "in use" : "none, so the start is slower"));
      if (upgrade) {
        node.importPredecessorState();
      } else {
        warmUp(config);
        node.admit();
      }
    } catch (InvalidConfigException e) {
      exit(1, e.getMessage());
    } catch (Exception e) {
      exit(1, "cannot start: " + e.getMessage());
    }
  }

  private static void warmUp(NodeConfig config) {
    try {
      WarmUp.run(config);
    } catch (Exception e) {
      // A node that starts slowly is still one that serves.
      LOG.warn("warm_up_failed", field("error", e));
    }
  }

  /** On SIGHUP; by looks at the file only where that signal can't come. */
  private static void followConfiguration(EdgeNode node, String file, String text) {
    SignalDispositions signals = SignalDispositions.now();
    if (signals.ignored(SignalDispositions.TERM)) {
      System.out.println(
          "SIGTERM was ignored when this process began and can't be caught: drain-on, then SIGKILL");
    }
    if (!signals.ignored(SignalDispositions.HUP)) {
      Signal.handle(new Signal("HUP"), signal -> reload(node, file));
      return;
    }
    System.out.println(
        "SIGHUP was ignored when this process began and can't be caught: the configuration is looked at each "
            + ConfigFileWatcher.PERIOD_MS
            + " ms");
    ConfigFileWatcher watch = new ConfigFileWatcher(Path.of(file), text);
    Thread looks =
        new Thread(
            () -> {
              try {
                while (true) {
                  Thread.sleep(ConfigFileWatcher.PERIOD_MS);
                  if (watch.changed()) {
                    reload(node, file);
                  }
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            },
            "configuration");
    looks.setDaemon(true);
    looks.start();
  }

  /**
   * On SIGHUP the file may name other addresses; one that cannot be used leaves all as it is. It
   * may still be being written, and no second signal comes for it. One signal at a time: the file
   * as read last is the one to follow.
   */
  static synchronized void reload(EdgeNode node, String file) {
    for (int look = 1; look <= LOOKS; look++) {
      try {
        node.applyConfiguration(NodeConfigParser.read(Path.of(file)));
        return;
      } catch (InvalidConfigException e) {
        if (look == 1) {
          System.err.println("the configuration stays as it was: " + e.getMessage());
        }
      }
      try {
        Thread.sleep(LOOK_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Ends a planned restart with 0: the platform reads any other status as a failure of the node.
   */
  private static void stop(EdgeNode node) {
    try {
      node.stop().get(1, TimeUnit.MINUTES);
      System.out.println("drained; " + node.metrics.worst());
      Runtime.getRuntime().halt(0);
    } catch (Exception e) {
      System.err.println("the drain did not end: " + e);
    }
  }

  private static void exit(int status, String line) {
    System.err.println(line);
    Runtime.getRuntime().halt(status);
  }
}
