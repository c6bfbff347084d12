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
 * Has a node follow its configuration file: on SIGHUP, or by polling the file where that signal
 * cannot come. A configuration that cannot be used leaves all as it is.
 */
final class ConfigurationReloader {
  /** How often, and how soon again, a configuration that cannot be used is read. */
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
   * Begins to follow the file; any thread.
   *
   * @param text what the node goes by now
   */
  void follow(String text) {
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
    ConfigFileWatcher watcher = new ConfigFileWatcher(file, text);
    Thread polling = new Thread(() -> poll(watcher), "configuration");
    polling.setDaemon(true);
    polling.start();
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
   * Reads the file until it can be used, {@link #MAX_READS} times at most: it may still be being
   * written, and no second signal comes for it. One signal at a time: the file as read last is the
   * one to follow. Tested by {@code EdgeNodeTest#aConfigurationThatIsHalfWrittenIsReadAgain}.
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
