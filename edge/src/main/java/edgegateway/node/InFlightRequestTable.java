package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The table of requests in flight: each is entered once, gets one final answer, and is forgotten
 * when it is answered and no attempt of it is out.
 *
 * <p>Both sides of the proxy report here, and what they report goes on to the policy as an event.
 * What the policy decides about a request comes back through {@link #beginAttempt}, {@link #reject}
 * and {@link #fail}. {@link #answerOnce} is the one place that settles how a request ends. All
 * methods are for the event loop's thread.
 */
final class InFlightRequestTable implements ClientRequestHandler, AttemptListener {
  private static final EventLog LOG = EventLog.console();

  /** The policy sees each deadline this much early: its last answer has to reach the client. */
  private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(12);

  /**
   * This long before the client's deadline a request that is still unanswered is failed, and a long
   * answer that is not out is cut.
   */
  private static final long FINAL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(6);

  private static final long MIN_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final PolicyEventLoop policyEvents;
  private final NodeMetrics metrics;
  private final NodeHealth health;
  private final Map<String, InFlightRequest> inFlight = new HashMap<>();

  InFlightRequestTable(PolicyEventLoop policyEvents, NodeMetrics metrics, NodeHealth health) {
    this.policyEvents = policyEvents;
    this.metrics = metrics;
    this.health = health;
  }

  // What the clients' side reports.

  @Override
  public long nowNanos() {
    return policyEvents.nowNanos();
  }

  @Override
  public long policyDeadlineNanos(long nowNanos, long clientTimeoutNanos) {
    return nowNanos + Math.max(MIN_WAIT_NANOS, clientTimeoutNanos - ANSWER_MARGIN_NANOS);
  }

  @Override
  public boolean healthy() {
    return health.healthy();
  }

  @Override
  public boolean accept(InFlightRequest request) {
    if (!enter(request)) {
      return false;
    }
    // A client's time counts from its last byte.
    if (request.upload == null) {
      scheduleDeadline(request, request.request.deadlineNanos() + ANSWER_MARGIN_NANOS);
    }
    runEvent(request, (policy, now) -> policy.requestReceived(now, request.request));
    return true;
  }

  @Override
  public boolean rejectOverCapacity(InFlightRequest request) {
    if (!enter(request)) {
      return false;
    }
    runEvent(request, (policy, now) -> policy.requestOverHostCapacity(now, request.request));
    return true;
  }

  private boolean enter(InFlightRequest request) {
    if (inFlight.putIfAbsent(request.request.id(), request) != null) {
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
  public void uploadCompleted(InFlightRequest request, long clientTimeoutNanos) {
    if (!request.responseClaimed) {
      scheduleDeadline(request, nowNanos() + clientTimeoutNanos);
      runEvent(request, (policy, now) -> policy.uploadCompleted(now, request.request.id()));
    }
  }

  @Override
  public void responseEnded(InFlightRequest request, RequestEnd end) {
    cancelDeadline(request);
    metrics.requestEnded(request.request.requestClass(), end);
  }

  @Override
  public void clientDisconnected(InFlightRequest request) {
    if (answerOnce(request, null) != null) {
      forgetIfSettled(request);
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

  /** No attempt follows: rejected if none may have run, since then repeating it is harmless. */
  private void endWithoutAttempt(InFlightRequest request) {
    if (request.firstPossibleExecutionNanos == Long.MIN_VALUE) {
      reject(request.request.id(), 0);
    } else {
      fail(request);
    }
  }

  // What the upstream side reports.

  @Override
  public void attemptEnded(
      InFlightRequest request,
      Outcome outcome,
      long durationNanos,
      String server,
      double actualUnits,
      ByteBuf body) {
    request.attemptInFlight = false;
    if (outcome == Outcome.OK) {
      InFlightRequest.ResponseWriter response = answerOnce(request, RequestEnd.FORWARDED);
      if (response != null) {
        response.sendResponse(body);
      }
    }
    reportAttemptEnd(request, outcome, durationNanos, server, actualUnits);
    if (request.lastAttempt) {
      endWithoutAttempt(request);
    }
    forgetIfSettled(request);
  }

  @Override
  public Channel responseStarted(
      InFlightRequest request,
      long length,
      long durationNanos,
      String server,
      Runnable onClientDisconnect) {
    // Counted when the long response ends, not here.
    InFlightRequest.ResponseWriter response = request.claimResponse();
    if (response == null) {
      return null;
    }
    // The policy's deadline does not bind what follows, and the server has done its work.
    reportAttemptEnd(request, Outcome.OK, durationNanos, server, 0);
    request.attemptInFlight = false;
    forgetIfSettled(request);
    Channel client = response.startStream(length, onClientDisconnect);
    request.clientDeadlineTimer =
        policyEvents.scheduleAt(
            request.clientDeadlineNanos - FINAL_MARGIN_NANOS, response::abortUnfinishedResponse);
    return client;
  }

  private void reportAttemptEnd(
      InFlightRequest request, Outcome outcome, long durationNanos, String server, double units) {
    // Read now: the event may run in a later turn of the loop.
    boolean complete = request.responseClaimed;
    int attempt = request.attempts - 1;
    runEvent(
        request,
        (policy, now) ->
            policy.attemptEnded(
                now,
                new AttemptResult(
                    request.request.id(),
                    outcome,
                    durationNanos,
                    server,
                    complete,
                    attempt,
                    units,
                    List.of())));
  }

  // What the policy decides.

  /**
   * Notes that an attempt of a request begins.
   *
   * @return the request to send; null if it is unknown, answered, or has an attempt out
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
    request.attempts++;
    request.attemptInFlight = true;
    return request;
  }

  /**
   * Final answer: refused, trying again is harmless. Nothing is done if the request is unknown or
   * answered.
   *
   * @param retryAfterNanos advice on when to try again; 0 for none
   */
  void reject(String id, long retryAfterNanos) {
    InFlightRequest request = inFlight.get(id);
    InFlightRequest.ResponseWriter response =
        request == null ? null : answerOnce(request, RequestEnd.REJECTED);
    if (response != null) {
      response.sendRejection(retryAfterNanos);
      forgetIfSettled(request);
    }
  }

  /** Final answer: failed, with no promise about the effect; nothing if unknown or answered. */
  void fail(String id) {
    InFlightRequest request = inFlight.get(id);
    if (request != null) {
      fail(request);
    }
  }

  private void fail(InFlightRequest request) {
    InFlightRequest.ResponseWriter response = answerOnce(request, RequestEnd.FAILED);
    if (response != null) {
      response.sendFailure();
      forgetIfSettled(request);
    }
  }

  // How a request ends.

  /**
   * The one place that settles how a request ends.
   *
   * @param end null if its client left before the answer
   * @return where the answer goes; null if the request was answered already
   */
  private InFlightRequest.ResponseWriter answerOnce(InFlightRequest request, RequestEnd end) {
    InFlightRequest.ResponseWriter response = request.claimResponse();
    if (response != null) {
      metrics.requestEnded(request.request.requestClass(), end);
    }
    return response;
  }

  /** Forgets a request once it is answered and no attempt of it is out. */
  private void forgetIfSettled(InFlightRequest request) {
    if (request.responseClaimed
        && !request.attemptInFlight
        && inFlight.remove(request.request.id(), request)) {
      cancelDeadline(request);
      request.release();
    }
  }

  /**
   * No request may be left without an answer when its client's time is over, even if the policy is
   * late.
   */
  private void scheduleDeadline(InFlightRequest request, long deadlineNanos) {
    request.clientDeadlineNanos = deadlineNanos;
    request.clientDeadlineTimer =
        policyEvents.scheduleAt(deadlineNanos - FINAL_MARGIN_NANOS, () -> deadlineReached(request));
  }

  private static void cancelDeadline(InFlightRequest request) {
    if (request.clientDeadlineTimer != null) {
      request.clientDeadlineTimer.cancel(false);
    }
  }

  private void deadlineReached(InFlightRequest request) {
    if (!request.responseClaimed) {
      fail(request);
      policyEvents.run((policy, now) -> policy.clientDisconnected(now, request.request.id()));
      request.cancelUnsentAttempt();
    }
  }

  /** Runs an event about a request; if the policy fails at it, the request still gets an answer. */
  private void runEvent(InFlightRequest request, PolicyEventLoop.PolicyEvent event) {
    policyEvents.run(event, () -> fail(request));
  }
}
