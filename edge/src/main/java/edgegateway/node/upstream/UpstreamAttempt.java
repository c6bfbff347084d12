package edgegateway.node.upstream;

import edgegateway.node.connections.ConnectionWaiter;
import edgegateway.node.connections.Upstream;
import edgegateway.node.connections.UpstreamConnection;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.RequestClass;
import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to send a request to an archive server. An attempt waits for a connection, writes the
 * request to the connection, and ends exactly once: with a response, at the attempt's timeout, when
 * the connection is lost, or by cancellation. The {@link UpstreamContext#listener} is notified of
 * the attempt's end or, if a long response is streamed to the client, of the start of that
 * response. Not thread-safe: used on the event loop's thread only.
 */
final class UpstreamAttempt implements ConnectionWaiter {
  /**
   * Assumed maximum time from writing the first byte of a request until the archive server has
   * received the last one.
   */
  private static final long MAX_TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * Maximum number of checks whether the client is still connected. After these the attempt is
   * written anyway, so that it makes progress even if the event loop stalls repeatedly.
   */
  private static final int MAX_CLIENT_CHECKS = 4;

  private final UpstreamContext context;
  private final InFlightRequest request;
  private final String endpointId;
  private final long timeoutNanos;

  /** The endpoint's connection pool; null if the endpoint is not listed. */
  private final Upstream upstream;

  private final long writeDeadlineNanos;

  /** When the attempt was created; after an upload, when the last byte was written. */
  private long sentAtNanos = System.nanoTime();

  /**
   * Whether a long response is being streamed to the client. The listener was notified when the
   * streaming started, so the attempt's end is not reported.
   */
  private boolean responseStreaming;

  /** Whether the request was written completely. */
  private boolean written;

  private boolean ended;

  /** The connection reserved while the client's presence is checked; otherwise null. */
  private UpstreamConnection reservedConnection;

  private int clientChecks;

  /**
   * Handler of the connection that the request is written to; null before that and after a complete
   * response.
   */
  private UpstreamConnectionHandler handler;

  private Future<?> timeout;

  UpstreamAttempt(
      UpstreamContext context,
      InFlightRequest request,
      RequestClass requestClass,
      String endpointId,
      long timeoutNanos,
      Upstream upstream) {
    this.context = context;
    this.request = request;
    this.endpointId = endpointId;
    this.timeoutNanos = timeoutNanos;
    this.upstream = upstream;
    writeDeadlineNanos = writeDeadlineNanos(requestClass);
  }

  /**
   * The time after which the request must not be written: the attempt has timed out by then, or the
   * request may have been executed in an earlier attempt and archive servers no longer recognize
   * its idempotency key, so that they would execute it again. Tested by
   * RaceConditionsTest#aRetryConnectedAfterTheIdempotencyKeyWindowIsNotSent.
   */
  private long writeDeadlineNanos(RequestClass requestClass) {
    long timesOutAtNanos = sentAtNanos + timeoutNanos;
    boolean needsDeduplication =
        request.firstPossibleExecutionNanos != Long.MIN_VALUE
            && requestClass.idempotency() == Idempotency.KEYED;
    if (!needsDeduplication) {
      return timesOutAtNanos;
    }
    long keyExpiresAtNanos =
        request.firstPossibleExecutionNanos + requestClass.idempotencyKeyWindowNanos();
    return Math.min(timesOutAtNanos, keyExpiresAtNanos - MAX_TRANSIT_NANOS);
  }

  /** Starts the attempt. Its end may be reported from within this call. */
  void start() {
    request.unsentAttemptCancellation = this::cancelIfUnsent;
    if (upstream == null) {
      noConnection(true);
      return;
    }
    scheduleTimeout();
    upstream.acquire(System.nanoTime(), this);
  }

  InFlightRequest request() {
    return request;
  }

  String endpointId() {
    return endpointId;
  }

  boolean isWritten() {
    return written;
  }

  boolean hasEnded() {
    return ended;
  }

  /** The time since the attempt was sent; see {@link #sentAtNanos}. */
  long elapsedNanos() {
    return System.nanoTime() - sentAtNanos;
  }

  /** The time until the timeout; negative after it. */
  long remainingNanos() {
    return timeoutNanos - elapsedNanos();
  }

  @Override
  public void connectionReady(UpstreamConnection ready) {
    boolean tooLate = System.nanoTime() - writeDeadlineNanos >= 0;
    if (ready.upstream().isRetired() || tooLate) {
      // A retired endpoint must not get new requests. The write deadline has passed if the event
      // loop stalled, or if the attempt's timeout is due next.
      end(Outcome.NOT_SENT, 0, null);
      ready.release(System.nanoTime());
    } else if (clientChecks < MAX_CLIENT_CHECKS && !request.wouldHaveSeenClientDisconnect()) {
      clientChecks++;
      reservedConnection = ready;
      request.checkClientPresence(this::clientPresenceChecked);
    } else {
      ((UpstreamConnectionHandler) ready.transport()).write(this);
    }
  }

  private void clientPresenceChecked() {
    UpstreamConnection ready = reservedConnection;
    reservedConnection = null;
    if (ready != null) {
      connectionReady(ready);
    }
  }

  @Override
  public void noConnection(boolean localCause) {
    Outcome outcome = localCause ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED;
    context.loop().execute(() -> end(outcome, 0, null));
  }

  /**
   * Ends the attempt unless writing its request has begun. Tested by
   * RaceConditionsTest#aWaitingAttemptIsNotSentForADisconnectedClient.
   */
  private void cancelIfUnsent() {
    if (handler == null) {
      end(Outcome.NOT_SENT, 0, null);
    }
  }

  /** Called when the request starts to be written to a connection. */
  void connectionAssigned(UpstreamConnectionHandler handler) {
    this.handler = handler;
  }

  /** Called when the response is complete, so that another attempt may use the connection. */
  void connectionReleased() {
    handler = null;
  }

  /** Called when the last byte of the request was written. */
  void writeCompleted() {
    written = true;
    context.metrics().attemptWritten();
    if (request.upload != null && !ended) {
      sentAtNanos = System.nanoTime();
      timeout.cancel(false);
      scheduleTimeout();
    }
  }

  /**
   * Schedules the timeout before the request is failed at its deadline, so that a response that has
   * begun goes on.
   */
  private void scheduleTimeout() {
    long delayNanos = Math.min(timeoutNanos, context.listener().untilDeadlineNanos(request));
    timeout = context.loop().schedule(this::timeOut, delayNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Called when the rest of a long body cannot be forwarded. Ends the attempt only if the request
   * already has a response; otherwise the caller ends the attempt by {@link #connectionLost} next.
   */
  void uploadFailed() {
    if (request.responseClaimed) {
      end(Outcome.CANCELLED, 0, null);
    }
  }

  /** Called when a long response starts to be streamed; the attempt has no timeout from then on. */
  void responseStreamingStarted() {
    timeout.cancel(false);
    responseStreaming = true;
  }

  /**
   * Called when the connection broke or was closed. An archive server starts to execute a request
   * only when it has received the last byte, so a request that was not written completely cannot
   * have been executed.
   */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
  }

  private void timeOut() {
    if (handler != null && !written && request.upload != null) {
      // The upload is not complete: the timeout for the response starts with the last byte.
      return;
    }
    if (written && (waitsForHead() || handler.streamInsteadOfTimeout())) {
      return;
    }
    UpstreamConnectionHandler usedHandler = handler;
    if (written) {
      usedHandler.attemptTimedOut();
    }
    if (usedHandler != null) {
      // Close before reporting the end: the next attempt may start within that report, and a
      // request must not have two attempts in flight. Tested by
      // RaceConditionsTest#theConnectionOfAnEndedAttemptIsClosedBeforeTheNextBegins.
      usedHandler.close();
    }
    end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
  }

  /** Postpones the timeout if the rest of the response's head is waited for. */
  private boolean waitsForHead() {
    long waitNanos = handler.headWaitNanos();
    if (waitNanos <= 0) {
      return false;
    }
    timeout = context.loop().schedule(this::timeOut, waitNanos, TimeUnit.NANOSECONDS);
    return true;
  }

  /** Ends the attempt because its request already has a response. */
  void cancel() {
    end(Outcome.CANCELLED, 0, null);
  }

  /** Called when the response is complete. The caller keeps ownership of the body. */
  void responseReceived(Outcome outcome, double actualUnits, ByteBuf body) {
    end(outcome, actualUnits, body);
  }

  private void end(Outcome outcome, double actualUnits, ByteBuf body) {
    if (ended) {
      return;
    }
    ended = true;
    request.unsentAttemptCancellation = null;
    if (!outcome.provesNotExecuted() && request.firstPossibleExecutionNanos == Long.MIN_VALUE) {
      request.firstPossibleExecutionNanos = sentAtNanos;
    }
    if (timeout != null) {
      timeout.cancel(false);
    }
    detachFromUpstream();
    if (request.upload != null) {
      request.upload.stopForwarding();
    }
    if (!responseStreaming) {
      context
          .listener()
          .attemptEnded(request, outcome, elapsedNanos(), endpointId, actualUnits, body);
    }
  }

  /** Detaches from the connection in use, releases the reserved one, or stops waiting for one. */
  private void detachFromUpstream() {
    if (handler != null) {
      handler.attemptEnded();
    } else if (reservedConnection != null) {
      reservedConnection.release(System.nanoTime());
      reservedConnection = null;
    } else if (upstream != null) {
      upstream.cancel(this);
    }
  }
}
