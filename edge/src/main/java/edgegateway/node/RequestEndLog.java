package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.InFlightRequest;
import java.util.concurrent.TimeUnit;

/**
 * Logs requests that were not served, with id and reason: at most {@link #MAX_LINES_PER_SECOND}
 * lines, and how many were left out. Requests of the warm-up are not logged. Used on the event
 * loop's thread only.
 */
final class RequestEndLog {
  static final int MAX_LINES_PER_SECOND = 10;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Why a request was not served. */
  enum Reason {
    /** The policy gave it up or rejected it. */
    POLICY,
    /** The client's deadline came before the policy's decision. */
    DEADLINE,
    /** It is not known whether its client is still connected. */
    CLIENT_NOT_SEEN,
    /** The archive server did not complete a streamed response. */
    STREAM_INCOMPLETE
  }

  private final EventLog log;
  private long secondStartedNanos;
  private int lines;
  private long leftOut;

  RequestEndLog(EventLog log, long nowNanos) {
    this.log = log;
    secondStartedNanos = nowNanos;
  }

  /** Logs the end of a request; {@code nowNanos} is of the clock that the constructor got. */
  void notServed(InFlightRequest request, RequestEnd end, Reason reason, long nowNanos) {
    if (request.request.id().startsWith(WarmUp.ID_PREFIX)) {
      return;
    }
    if (nowNanos - secondStartedNanos >= SECOND_NANOS) {
      secondStartedNanos = nowNanos;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) {
      leftOut++;
      return;
    }
    lines++;
    log.info(
        "request_not_served",
        field("id", request.request.id()),
        field("class", request.request.requestClass()),
        field("end", end),
        field("reason", reason),
        field("attempts", request.attempts),
        field("left_out", leftOut));
    leftOut = 0;
  }
}
