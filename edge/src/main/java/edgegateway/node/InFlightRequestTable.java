package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.RequestEndLog.Reason;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.node.upgrade.RecentRequestIds;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.ResponseProgress;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The table of requests in flight. Each request is added once, gets one final answer, and is
 * removed when it has been answered and has no attempt in flight.
 *
 * <p>The client side and the upstream side of the proxy report to this class, which passes their
 * reports to the policy as events. The policy's decisions about a request arrive through {@link
 * #beginAttempt}, {@link #reject} and {@link #fail}. {@link InFlightRequest#claimResponse} makes
 * sure that a request is answered only once. All methods are called on the event loop's thread.
 */
final class InFlightRequestTable implements ClientRequestHandler, AttemptListener {
  private static final EventLog LOG = EventLog.console();

  /** The policy's deadline is this much before the client's, so that its last answer is in time. */
  private static final long POLICY_DEADLINE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(12);

  /**
   * This long before the client's deadline, a request without an answer is failed, and it is
   * decided whether an incomplete streamed response goes on.
   */
  static final long LOCAL_FAILURE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(6);

  private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final PolicyEventLoop policyEvents;
  private final NodeMetrics metrics;
  private final NodeHealth health;
  private final RecentRequestIds recentIds;
  private final RequestEndLog endLog = new RequestEndLog(LOG, System.nanoTime());
  private final StreamDeadlines streamDeadlines;
  private final Map<String, InFlightRequest> inFlight = new HashMap<>();

  /** By when all requests must be answered; {@link Long#MAX_VALUE} unless the process stops. */
  private long answerByNanos = Long.MAX_VALUE;

  InFlightRequestTable(
      PolicyEventLoop policyEvents,
      NodeMetrics metrics,
      NodeHealth health,
      RecentRequestIds recentIds) {
    this.recentIds = recentIds;
    this.policyEvents = policyEvents;
    streamDeadlines = new StreamDeadlines(policyEvents, endLog);
    this.metrics = metrics;
    this.health = health;
  }

  /**
   * Called when the process stops: bounds the time of all requests, in flight and to come, so that
   * none is unanswered when the process is killed.
   */
  void stopping(long newAnswerByNanos) {
    answerByNanos = newAnswerByNanos;
    for (InFlightRequest request : List.copyOf(inFlight.values())) {
      if (!request.responseClaimed) {
        cancelDeadline(request);
        scheduleDeadline(request);
      }
    }
  }

  // Events from the client side.

  @Override
  public long nowNanos() {
    return policyEvents.nowNanos();
  }

  @Override
  public long policyDeadlineNanos(long nowNanos, long clientTimeoutNanos) {
    long deadlineNanos =
        nowNanos + Math.max(MIN_WAIT_NANOS, clientTimeoutNanos - POLICY_DEADLINE_MARGIN_NANOS);
    return Math.min(deadlineNanos, answerByNanos - POLICY_DEADLINE_MARGIN_NANOS);
  }

  @Override
  public boolean healthy() {
    return health.healthy();
  }

  @Override
  public boolean accept(InFlightRequest request) {
    if (!add(request)) {
      return false;
    }
    if (request.upload == null) {
      request.clientDeadlineNanos = request.request.deadlineNanos() + POLICY_DEADLINE_MARGIN_NANOS;
    }
    scheduleDeadline(request);
    runEvent(request, (policy, now) -> policy.requestReceived(now, request.request));
    return true;
  }

  @Override
  public boolean rejectOverCapacity(InFlightRequest request) {
    if (!add(request)) {
      return false;
    }
    runEvent(request, (policy, now) -> policy.requestOverHostCapacity(now, request.request));
    return true;
  }

  private boolean add(InFlightRequest request) {
    String id = request.request.id();
    if (recentIds.contains(id) || inFlight.putIfAbsent(id, request) != null) {
      return false;
    }
    metrics.requestAccepted();
    return true;
  }

  @Override
  public void bodyForwarded(InFlightRequest request) {
    runEvent(request, (policy, now) -> policy.bodyForwarded(now, request.request.id()));
  }

  @Override
  public void uploadCompleted(InFlightRequest request, long clientWaitsNanos) {
    if (!request.responseClaimed) {
      cancelDeadline(request);
      request.clientDeadlineNanos = nowNanos() + request.clientTimeoutNanos - clientWaitsNanos;
      scheduleDeadline(request);
      runEvent(request, (policy, now) -> policy.uploadCompleted(now, request.request.id()));
    }
  }

  @Override
  public void responseEnded(InFlightRequest request, RequestEnd end) {
    cancelDeadline(request);
    if (end == RequestEnd.FAILED) {
      endLog.notServed(request, end, Reason.STREAM_INCOMPLETE, System.nanoTime());
    }
    metrics.requestEnded(request.request.requestClass(), end);
  }

  @Override
  public void clientDisconnected(InFlightRequest request) {
    if (claimAnswer(request, null) != null) {
      removeIfFinished(request);
      runEvent(request, (policy, now) -> policy.clientDisconnected(now, request.request.id()));
      request.cancelUnsentAttempt();
    }
  }

  @Override
  public void clientPossiblyDisconnected(InFlightRequest request) {
    request.lastAttempt = true;
    runEvent(request, (policy, now) -> policy.clientDisconnected(now, request.request.id()));
    request.cancelUnsentAttempt();
    if (!request.attemptInFlight) {
      endWithoutAttempt(request);
    }
  }

  /**
   * Ends a request that gets no further attempt. It is rejected if none of its attempts can have
   * been executed, because a retry is then harmless, and failed otherwise.
   */
  private void endWithoutAttempt(InFlightRequest request) {
    if (request.firstPossibleExecutionNanos == Long.MIN_VALUE) {
      reject(request, 0, Reason.CLIENT_NOT_SEEN);
    } else {
      fail(request, Reason.CLIENT_NOT_SEEN);
    }
  }

  // Events from the upstream side.

  @Override
  public void attemptEnded(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String endpointId,
      double actualUnits,
      ByteBuf body) {
    request.attemptInFlight = false;
    if (outcome == Outcome.OK) {
      InFlightRequest.ResponseWriter response = claimAnswer(request, RequestEnd.FORWARDED);
      if (response != null) {
        response.sendResponse(body);
      }
    }
    reportAttemptEnd(request, outcome, durationNanos, endpointId, actualUnits);
    if (request.lastAttempt) {
      endWithoutAttempt(request);
    }
    removeIfFinished(request);
  }

  @Override
  public Channel responseStarted(
      InFlightRequest request,
      long length,
      long durationNanos,
      String endpointId,
      Supplier<ResponseProgress> progress,
      Runnable onClientDisconnect) {
    // Does not update the metrics: a streamed response is counted when it ends.
    InFlightRequest.ResponseWriter response = request.claimResponse();
    if (response == null) {
      return null;
    }
    // For the policy the attempt is over: the server has executed the request, and the policy's
    // deadline does not apply to the rest of the response.
    reportAttemptEnd(request, Outcome.OK, durationNanos, endpointId, 0);
    request.executed = true;
    request.attemptInFlight = false;
    removeIfFinished(request);
    Channel client = response.startStream(length, onClientDisconnect);
    streamDeadlines.watch(request, response, endpointId, progress);
    return client;
  }

  @Override
  public boolean streamsBuffered(ResponseProgress progress, long heldNanos) {
    return GatewayPolicy.streamsBuffered(progress, heldNanos);
  }

  @Override
  public long untilDeadlineNanos(InFlightRequest request) {
    return request.clientDeadlineNanos - POLICY_DEADLINE_MARGIN_NANOS - nowNanos();
  }

  @Override
  public long headWaitNanos(InFlightRequest request, long silentNanos) {
    return GatewayPolicy.headWaitNanos(silentNanos, untilDeadlineNanos(request));
  }

  @Override
  public boolean streamsAtTimeout(
      InFlightRequest request, String endpointId, ResponseProgress progress) {
    boolean streams = GatewayPolicy.streamsAtTimeout(progress);
    if (!streams) {
      long lateNanos = nowNanos() - request.clientDeadlineNanos;
      endLog.responseGivenUp(request, endpointId, progress, false, lateNanos, System.nanoTime());
    }
    return streams;
  }

  private void reportAttemptEnd(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String endpointId,
      double units) {
    request.lastOutcome = outcome;
    // Read here because the event may run in a later iteration of the event loop.
    boolean requestComplete = request.responseClaimed;
    int attemptIndex = request.attempts - 1;
    runEvent(
        request,
        (policy, now) ->
            policy.attemptEnded(
                now,
                new AttemptResult(
                    request.request.id(),
                    outcome,
                    durationNanos,
                    endpointId,
                    requestComplete,
                    attemptIndex,
                    units,
                    List.of())));
  }

  // Decisions of the policy.

  /**
   * Records that an attempt of a request begins.
   *
   * @return the request to send; null if it is unknown, answered, or has an attempt in flight
   */
  InFlightRequest beginAttempt(String id) {
    InFlightRequest request = inFlight.get(id);
    if (request == null) {
      return null;
    }
    if (request.responseClaimed || request.attemptInFlight) {
      LOG.warn("attempt_not_allowed", field("error", new IllegalStateException(id)));
      return null;
    }
    if (request.attempts == 0) {
      recentIds.add(id);
    }
    request.attempts++;
    request.attemptInFlight = true;
    return request;
  }

  /**
   * Sends the final answer that a request was rejected and that a retry is harmless. Does nothing
   * if the request is unknown or answered.
   *
   * @param retryAfterNanos Retry-After for the client, from now; 0 for none
   */
  void reject(String id, long retryAfterNanos) {
    InFlightRequest request = inFlight.get(id);
    if (request != null) {
      reject(request, retryAfterNanos, Reason.POLICY);
    }
  }

  private void reject(InFlightRequest request, long retryAfterNanos, Reason reason) {
    InFlightRequest.ResponseWriter response = claimAnswer(request, RequestEnd.REJECTED);
    if (response != null) {
      endLog.notServed(request, RequestEnd.REJECTED, reason, System.nanoTime());
      response.sendRejection(retryAfterNanos);
      removeIfFinished(request);
    }
  }

  /**
   * Sends the final answer that a request failed; it may have been executed. Does nothing if the
   * request is unknown or answered.
   */
  void fail(String id) {
    InFlightRequest request = inFlight.get(id);
    if (request != null) {
      fail(request, Reason.POLICY);
    }
  }

  private void fail(InFlightRequest request, Reason reason) {
    InFlightRequest.ResponseWriter response = claimAnswer(request, RequestEnd.FAILED);
    if (response != null) {
      endLog.notServed(request, RequestEnd.FAILED, reason, System.nanoTime());
      response.sendFailure();
      removeIfFinished(request);
    }
  }

  // Final answers and deadlines.

  /**
   * Claims the one answer of a request and counts how the request ended.
   *
   * @param end null if the client disconnected before the answer
   * @return the writer of the answer; null if the request is already answered
   */
  private InFlightRequest.ResponseWriter claimAnswer(InFlightRequest request, RequestEnd end) {
    InFlightRequest.ResponseWriter response = request.claimResponse();
    if (response != null) {
      metrics.requestEnded(request.request.requestClass(), end);
    }
    return response;
  }

  /** Removes a request if it is answered and has no attempt in flight. */
  private void removeIfFinished(InFlightRequest request) {
    if (request.responseClaimed
        && !request.attemptInFlight
        && inFlight.remove(request.request.id(), request)) {
      cancelDeadline(request);
      request.release();
      if (request.mayBeExecutedAgain()) {
        recentIds.remove(request.request.id());
      }
    }
  }

  /**
   * Schedules the end of a request that is unanswered shortly before the client's deadline, or
   * before the process must have answered it, even if the policy has not decided.
   */
  private void scheduleDeadline(InFlightRequest request) {
    if (request.upload != null && !request.upload.isComplete()) {
      scheduleUploadDeadline(request);
      return;
    }
    request.clientDeadlineNanos = Math.min(request.clientDeadlineNanos, answerByNanos);
    request.clientDeadlineTimer =
        policyEvents.scheduleAt(
            request.clientDeadlineNanos - LOCAL_FAILURE_MARGIN_NANOS,
            () -> deadlineReached(request));
  }

  /**
   * Sets the deadline of a request whose body is being received. It counts from the body's last
   * byte; while the node does not read on, because the archive server is slow, that byte may have
   * been sent at any time since.
   */
  private void scheduleUploadDeadline(InFlightRequest request) {
    request.clientDeadlineTimer =
        policyEvents.scheduleAt(
            nowNanos() + untilUploadDeadlineNanos(request) - LOCAL_FAILURE_MARGIN_NANOS,
            () -> uploadDeadlineReached(request));
  }

  private long untilUploadDeadlineNanos(InFlightRequest request) {
    long clientWaitsNanos = request.upload.possibleWaitNanos();
    return Math.min(request.clientTimeoutNanos - clientWaitsNanos, answerByNanos - nowNanos());
  }

  private void uploadDeadlineReached(InFlightRequest request) {
    if (untilUploadDeadlineNanos(request) <= LOCAL_FAILURE_MARGIN_NANOS) {
      deadlineReached(request);
    } else {
      scheduleUploadDeadline(request);
    }
  }

  private static void cancelDeadline(InFlightRequest request) {
    if (request.clientDeadlineTimer != null) {
      request.clientDeadlineTimer.cancel(false);
    }
  }

  private void deadlineReached(InFlightRequest request) {
    if (!request.responseClaimed) {
      boolean stopping = nowNanos() >= answerByNanos - LOCAL_FAILURE_MARGIN_NANOS;
      fail(request, stopping ? Reason.STOPPING : Reason.DEADLINE);
      policyEvents.run((policy, now) -> policy.clientDisconnected(now, request.request.id()));
      request.cancelUnsentAttempt();
      if (request.upload != null) {
        request.upload.abort();
      }
    }
  }

  /** Runs an event about a request; if the policy throws an exception, the request is failed. */
  private void runEvent(InFlightRequest request, PolicyEventLoop.PolicyEvent event) {
    policyEvents.run(event, () -> fail(request, Reason.POLICY));
  }
}
