package edgegateway.node.clients;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import edgegateway.node.logging.EventLog;
import java.util.EnumMap;
import java.util.Map;

/**
 * Logs that connections were closed before a complete response was written to them. One line per
 * reason and call, however many connections it concerns. Used on the event loop's thread only.
 */
final class CutResponseLog {
  private static final EventLog LOG = EventLog.console();

  private final ConnectionMetrics metrics;

  /** The counts that are logged already. */
  private final Map<CloseReason, Long> logged = new EnumMap<>(CloseReason.class);

  CutResponseLog(ConnectionMetrics metrics) {
    this.metrics = metrics;
  }

  /** Logs the responses that were cut since the last call; nothing if there were none. */
  void logNew() {
    for (CloseReason reason : CloseReason.values()) {
      long count = metrics.responsesCut(reason);
      long newCount = count - logged.getOrDefault(reason, 0L);
      if (newCount > 0) {
        logged.put(reason, count);
        LOG.warn(
            "client_responses_cut",
            field("reason", reason.metricName()),
            field("connections", newCount));
      }
    }
  }
}
