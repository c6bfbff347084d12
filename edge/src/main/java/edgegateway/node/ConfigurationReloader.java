package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.InvalidConfigException;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.lifecycle.ConfigFileWatcher;
import edgegateway.node.lifecycle.SignalDispositions;
import edgegateway.node.logging.EventLog;
import java.nio.file.Path;
import sun.misc.Signal;

/**
 * Applies changes of the configuration file to a running node: on SIGHUP, or by polling the file if
 * the process ignores that signal. An invalid configuration is logged and changes nothing.
 */
final class ConfigurationReloader {
  /** How often the file is read until it holds a valid configuration. */
  private static final int MAX_READS = 20;

  private static final int READ_INTERVAL_MILLIS = 100;

  private final EdgeNode node;
  private final Path file;
  private final EventLog log;

  ConfigurationReloader(EdgeNode node, Path file, EventLog log) {
    this.node = node;
    this.file = file;
    this.log = log;
  }

  /**
   * Begins to watch for changes. May be called on any thread.
   *
   * @param currentText text of the configuration that the node was started with
   */
  void start(String currentText) {
    SignalDispositions signals = SignalDispositions.current();
    if (signals.isIgnored(SignalDispositions.SIGTERM)) {
      log.info(
          "signal_ignored", field("signal", "SIGTERM"), field("use", "drain-on, then SIGKILL"));
    }
    if (!signals.isIgnored(SignalDispositions.SIGHUP)) {
      Signal.handle(new Signal("HUP"), signal -> reload());
      return;
    }
    log.info(
        "signal_ignored",
        field("signal", "SIGHUP"),
        field("config_poll_ms", ConfigFileWatcher.POLL_INTERVAL_MILLIS));
    ConfigFileWatcher watcher = new ConfigFileWatcher(file, currentText);
    Thread poller = new Thread(() -> poll(watcher), "configuration");
    poller.setDaemon(true);
    poller.start();
  }

  private void poll(ConfigFileWatcher watcher) {
    try {
      while (true) {
        Thread.sleep(ConfigFileWatcher.POLL_INTERVAL_MILLIS);
        if (watcher.pollForChange()) {
          reload();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reads the file until it holds a valid configuration, at most {@link #MAX_READS} times, and
   * applies it. The file may still be being written when the signal arrives, and no second signal
   * follows. Synchronized, so that of several signals the one that reads the file last decides.
   * Tested by {@code EdgeNodeTest#aPartlyWrittenConfigurationIsReread}.
   */
  synchronized void reload() {
    for (int read = 1; read <= MAX_READS; read++) {
      try {
        node.applyConfiguration(NodeConfigParser.read(file));
        return;
      } catch (InvalidConfigException e) {
        if (read == 1) {
          log.warn(
              "configuration_rejected", field("key", e.key()), field("reason", e.getMessage()));
        }
      }
      try {
        Thread.sleep(READ_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
