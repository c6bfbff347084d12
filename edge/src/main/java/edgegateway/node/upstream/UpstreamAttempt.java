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
 * One sending of a request to an archive server. It waits for a connection, is written, and ends
 * exactly once: with a response, at its timeout, at its connection's end, or withdrawn before it
 * was written. Its end is reported to the {@link UpstreamContext#listener}. For the event loop's
 * thread.
 */
final class UpstreamAttempt implements ConnectionWaiter {
  /** What a request may need from its first byte here to its last byte at the archive server. */
  private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /**
   * How often one attempt checks whether its client is still there: it goes on though the event
   * loop stalls again and again.
   */
  private static final int MAX_CLIENT_CHECKS = 2;

  private final UpstreamContext context;
  private final InFlightRequest request;
  private final String endpointId;
  private final long timeoutNanos;

  /** Null if the endpoint is not listed. */
  private final Upstream upstream;

  private final long latestStartNanos;

  /** When it was created; if its body was uploaded meanwhile, when the last byte was written. */
  private long sentAtNanos = System.nanoTime();

  /** A long response is being forwarded: the end was reported when that began. */
  private boolean responseForwarded;

  private boolean written;
  private boolean ended;

  /** What it will be written to unless its client turns out to be gone; else null. */
  private UpstreamConnection reserved;

  private int clientChecks;

  /** What it was written to; null before that and after the end. */
  private UpstreamConnectionHandler connection;

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
    latestStartNanos = latestStartNanos(requestClass);
  }

  /**
   * After this time it may not be written: nobody waits for it any more, or archive servers have
   * forgotten the idempotency key of the attempt that it repeats and would execute it once more.
   * Shown by RaceConditionsTest#aRetryConnectedAfterTheIdempotencyKeyWindowIsNotSent.
   */
  private long latestStartNanos(RequestClass requestClass) {
    long timesOutAtNanos = sentAtNanos + timeoutNanos;
    boolean mayRepeat =
        request.firstPossibleExecutionNanos != Long.MIN_VALUE
            && requestClass.idempotency() == Idempotency.KEYED;
    if (!mayRepeat) {
      return timesOutAtNanos;
    }
    long keyForgottenAtNanos =
        request.firstPossibleExecutionNanos + requestClass.idempotencyKeyWindowNanos();
    return Math.min(timesOutAtNanos, keyForgottenAtNanos - TRANSIT_NANOS);
  }

  /** Begins to wait for a connection; its end is reported later, never from within this call. */
  void start() {
    request.unsentAttemptCancellation = this::withdraw;
    if (upstream == null) {
      noConnection(true);
      return;
    }
    timeout = context.loop().schedule(this::timeOut, timeoutNanos, TimeUnit.NANOSECONDS);
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

  long elapsedNanos() {
    return System.nanoTime() - sentAtNanos;
  }

  long timeLeftNanos() {
    return timeoutNanos - elapsedNanos();
  }

  @Override
  public void connectionReady(UpstreamConnection ready) {
    boolean tooLate = System.nanoTime() - latestStartNanos >= 0;
    if (ready.upstream().isRetired() || tooLate) {
      // Its endpoint terminates; or the event loop stalled, or the timeout comes next.
      end(Outcome.NOT_SENT, 0, null);
      ready.release(System.nanoTime());
    } else if (clientChecks < MAX_CLIENT_CHECKS && !request.wouldHaveSeenClientDisconnect()) {
      clientChecks++;
      reserved = ready;
      request.checkClientPresence(this::clientChecked);
    } else {
      ((UpstreamConnectionHandler) ready.transport()).write(this);
    }
  }

  private void clientChecked() {
    UpstreamConnection ready = reserved;
    reserved = null;
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
   * Nobody waits for it any more: it is not written if that has not begun. Shown by
   * RaceConditionsTest#aWaitingAttemptIsNotSentForADisconnectedClient.
   */
  private void withdraw() {
    if (connection == null) {
      end(Outcome.NOT_SENT, 0, null);
    }
  }

  /** It is being written to this connection. */
  void connectionAssigned(UpstreamConnectionHandler assigned) {
    connection = assigned;
  }

  /** The connection has a complete response to it and may go to another attempt. */
  void connectionReleased() {
    connection = null;
  }

  /** The last byte is written. */
  void writeCompleted() {
    written = true;
    context.metrics().attemptWritten();
    if (request.upload != null && !ended) {
      sentAtNanos = System.nanoTime();
      timeout.cancel(false);
      timeout = context.loop().schedule(this::timeOut, timeoutNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** The rest of the body can't come: its client is gone, or was answered already. */
  void uploadFailed() {
    if (request.responseClaimed) {
      end(Outcome.CANCELLED, 0, null);
    }
  }

  /** A long response begins to be forwarded: no timeout binds it any more. */
  void responseForwarded() {
    timeout.cancel(false);
    responseForwarded = true;
  }

  /** An archive server begins a request with its last byte: before that it can't have run. */
  void connectionLost() {
    end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
  }

  private void timeOut() {
    if (connection != null && !written && request.upload != null) {
      // An archive server begins with the last byte: the time for its response has not begun.
      return;
    }
    UpstreamConnectionHandler used = connection;
    if (written) {
      used.attemptTimedOut();
    }
    if (used != null) {
      // Before the end is reported: another attempt may begin then, and two may not be in flight.
      // Shown by RaceConditionsTest#theConnectionOfAnEndedAttemptIsClosedBeforeTheNextBegins.
      used.close();
    }
    end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
  }

  /** Nobody waits for its response any more. */
  void cancel() {
    end(Outcome.CANCELLED, 0, null);
  }

  /** A complete response came; the body stays the caller's. */
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
    leaveConnection();
    if (request.upload != null) {
      request.upload.stopForwarding();
    }
    if (!responseForwarded) {
      context
          .listener()
          .attemptEnded(request, outcome, elapsedNanos(), endpointId, actualUnits, body);
    }
  }

  private void leaveConnection() {
    if (connection != null) {
      connection.attemptEnded();
    } else if (reserved != null) {
      reserved.release(System.nanoTime());
      reserved = null;
    } else if (upstream != null) {
      upstream.cancel(this);
    }
  }
}
