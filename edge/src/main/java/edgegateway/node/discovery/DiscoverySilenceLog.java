package edgegateway.node.discovery;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Logs an outage of discovery: its begin once, its length after 6 s and at each doubling, and its
 * end. A discovery that is down is polled over and over, and on-call staff need one line of that.
 * For the event loop's thread.
 */
final class DiscoverySilenceLog {
  /** What the lines name beside the outage's length. */
  interface WatchStatus {
    /** The address that is watched now. */
    InetSocketAddress address();

    /** The revision of the list that is held now. */
    long revision();
  }

  private static final EventLog LOG = EventLog.console();

  /** From this silence on the list may be older than the protocol allows (Figures). */
  private static final long MAX_LIST_AGE_MILLIS = 6_000;

  private final EventLoop loop;
  private final NodeMetrics metrics;
  private final WatchStatus status;
  private boolean silent;
  private ScheduledFuture<?> nextReport;

  DiscoverySilenceLog(EventLoop loop, NodeMetrics metrics, WatchStatus status) {
    this.loop = loop;
    this.metrics = metrics;
    this.status = status;
  }

  /** The last responsive watch ended or fell silent; may be repeated. */
  void watchLost() {
    if (!silent) {
      silent = true;
      LOG.info(
          "discovery_watch_ended",
          field("address", status.address()),
          field("revision", status.revision()));
      scheduleReport(MAX_LIST_AGE_MILLIS);
    }
  }

  /** An event came; called before the metrics learn of it. */
  void eventReceived() {
    if (silent) {
      silent = false;
      nextReport.cancel(false);
      LOG.info("discovery_recovered", field("silent_ms", metrics.millisSinceDiscoveryMessage()));
    }
  }

  private void scheduleReport(long silenceMillis) {
    nextReport =
        loop.schedule(
            () -> report(silenceMillis),
            silenceMillis - metrics.millisSinceDiscoveryMessage(),
            TimeUnit.MILLISECONDS);
  }

  private void report(long silenceMillis) {
    LOG.info(
        "discovery_unreachable",
        field("silent_ms", metrics.millisSinceDiscoveryMessage()),
        field("address", status.address()),
        field("revision", status.revision()));
    scheduleReport(2 * silenceMillis);
  }
}
