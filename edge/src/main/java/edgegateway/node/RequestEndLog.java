package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.node.logging.LineBudget;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.ResponseProgress;
import java.util.concurrent.TimeUnit;

/**
 * Logs requests that were not served, and responses that the node gave up although their server had
 * begun them: at most {@link #MAX_LINES_PER_SECOND} lines of each kind, and how many were left out.
 * Requests without an attempt are a kind of their own, so that many rejected ones do not displace
 * the others. Requests of the warm-up are not logged. Used on the event loop's thread only.
 */
final class RequestEndLog {
  static final int MAX_LINES_PER_SECOND = 10;

  /** Why a request was not served. */
  enum Reason {
    /** The policy gave it up or rejected it. */
    POLICY,
    /** The client's deadline came before the policy's decision. */
    DEADLINE,
    /** The process will be killed before the client's deadline. */
    STOPPING,
    /** It is not known whether its client is still connected. */
    CLIENT_NOT_SEEN,
    /** The archive server did not complete a streamed response. */
    STREAM_INCOMPLETE
  }

  private final EventLog log;
  private final LineBudget unsentLines;
  private final LineBudget sentLines;
  private final LineBudget responseLines;

  RequestEndLog(EventLog log, long nowNanos) {
    this.log = log;
    unsentLines = new LineBudget(MAX_LINES_PER_SECOND, nowNanos);
    sentLines = new LineBudget(MAX_LINES_PER_SECOND, nowNanos);
    responseLines = new LineBudget(MAX_LINES_PER_SECOND, nowNanos);
  }

  /** Logs the end of a request; {@code nowNanos} is of the clock that the constructor got. */
  void notServed(InFlightRequest request, RequestEnd end, Reason reason, long nowNanos) {
    LineBudget budget = request.attempts == 0 ? unsentLines : sentLines;
    if (isWarmUp(request) || !budget.tryAcquire(nowNanos)) {
      return;
    }
    log.info(
        "request_not_served",
        field("id", request.request.id()),
        field("class", request.request.requestClass()),
        field("end", end),
        field("reason", reason),
        field("attempts", request.attempts),
        field("last_outcome", request.lastOutcome == null ? "none" : request.lastOutcome),
        field("left_out", budget.takeLeftOut()));
  }

  /**
   * Logs that the rest of a response is given up: its attempt ends, or its client's connection is
   * reset if a part was streamed.
   *
   * @param streamed whether a part of it was passed on to the client
   * @param lateNanos the time since the client's deadline; negative before it
   */
  void responseGivenUp(
      InFlightRequest request,
      String endpointId,
      ResponseProgress progress,
      boolean streamed,
      long lateNanos,
      long nowNanos) {
    if (isWarmUp(request) || !responseLines.tryAcquire(nowNanos)) {
      return;
    }
    log.info(
        "response_given_up",
        field("id", request.request.id()),
        field("endpoint", endpointId),
        field("streamed", streamed),
        field("declared_bytes", progress.declaredBytes()),
        field("received_bytes", progress.receivedBytes()),
        field("silent_ms", TimeUnit.NANOSECONDS.toMillis(progress.silentNanos())),
        field("writing_ms", TimeUnit.NANOSECONDS.toMillis(progress.writingNanos())),
        field("late_ms", TimeUnit.NANOSECONDS.toMillis(lateNanos)),
        field("left_out", responseLines.takeLeftOut()));
  }

  private static boolean isWarmUp(InFlightRequest request) {
    return request.request.id().startsWith(WarmUp.ID_PREFIX);
  }
}
