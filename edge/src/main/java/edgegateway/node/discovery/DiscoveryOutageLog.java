package edgegateway.node.discovery;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Logs the start and the end of a discovery outage, and its duration so far after 6 s and each time
 * the duration has doubled. Failed watches are not logged one by one here, because they are retried
 * many times during an outage. Not thread-safe: used on the event loop only.
 */
final class DiscoveryOutageLog {
  /** The values that are logged beside the duration of an outage. */
  interface WatchStatus {
    /** Current address of discovery. */
    InetSocketAddress address();

    /** Revision of the node's current list. */
    long revision();
  }

  private static final EventLog LOG = EventLog.console();

  /**
   * A node must know a change within this time. After as long without an event, its list may be
   * older than that allows.
   */
  private static final long MAX_LIST_AGE_MILLIS = 6_000;

  private final EventLoop loop;
  private final NodeMetrics metrics;
  private final WatchStatus status;
  private boolean outageInProgress;
  private ScheduledFuture<?> nextReport;

  DiscoveryOutageLog(EventLoop loop, NodeMetrics metrics, WatchStatus status) {
    this.loop = loop;
    this.metrics = metrics;
    this.status = status;
  }

  /** No watch is responsive any more. Has no effect if an outage is in progress already. */
  void watchLost() {
    if (!outageInProgress) {
      outageInProgress = true;
      LOG.info(
          "discovery_watch_ended",
          field("address", status.address()),
          field("revision", status.revision()));
      scheduleReport(MAX_LIST_AGE_MILLIS);
    }
  }

  /**
   * An event was accepted. Must be called before {@link NodeMetrics#discoveryMessageReceived},
   * because this method logs the time since the previous event.
   */
  void eventReceived() {
    if (outageInProgress) {
      outageInProgress = false;
      nextReport.cancel(false);
      LOG.info("discovery_recovered", field("silent_ms", metrics.millisSinceDiscoveryMessage()));
    }
  }

  private void scheduleReport(long outageMillis) {
    nextReport =
        loop.schedule(
            () -> report(outageMillis),
            outageMillis - metrics.millisSinceDiscoveryMessage(),
            TimeUnit.MILLISECONDS);
  }

  private void report(long outageMillis) {
    LOG.info(
        "discovery_unreachable",
        field("silent_ms", metrics.millisSinceDiscoveryMessage()),
        field("address", status.address()),
        field("revision", status.revision()));
    scheduleReport(2 * outageMillis);
  }
}
