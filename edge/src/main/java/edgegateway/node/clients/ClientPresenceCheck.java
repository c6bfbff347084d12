package edgegateway.node.clients;

import edgegateway.node.connections.ConnectionAcceptor;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the client of a request in flight has disconnected, so that no attempt begins for a
 * client that disconnected more than 0.1 s ago.
 *
 * <p>Netty reports neither a close nor a reset of a connection that is not read, and a closed
 * connection looks like a half-closed one, whose client still waits for its response. Therefore
 * clients are probed with {@code 100 Continue} responses: a connected client ignores them, and a
 * closed socket answers them with a reset. See ClientDisconnectTest.
 *
 * <p>Not thread-safe: used on the event loop's thread only.
 */
final class ClientPresenceCheck {
  /**
   * Delays from the end of the client's input to each probe. The first probe that arrives after the
   * client closed its socket is answered with a reset. There are at most four probes, because some
   * clients accept no more interim responses.
   */
  private static final long[] HALF_CLOSE_PROBE_DELAYS_MILLIS = {0, 10, 35, 70};

  /**
   * How long a client whose connection is not read counts as present after it was last known to be.
   * The sum of this and {@link #SECOND_PROBE_DELAY_NANOS} is below the 0.1 s during which an
   * attempt may still begin for a client that has disconnected.
   */
  private static final long PRESENCE_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /**
   * Delay between the two probes of a check. The first probe provokes the reset by a closed socket,
   * after which the write of the second one fails.
   */
  private static final long SECOND_PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final int PROBES_PER_CHECK = 2;

  /** Limit for each request whose connection is not read. */
  private static final int MAX_PROBES_PER_REQUEST = 4;

  private final ClientSession session;
  private final Channel channel;
  private final ResponseSender responses;
  private final ConnectionPersistence persistence;
  private final ClientRequestHandler handler;
  private final EventLoopStallDetector stallDetector;
  private final EventLoop loop;

  /** When the client was last probed; a probe of a client that has left ends the connection. */
  private long lastProbedNanos = System.nanoTime() - PRESENCE_VALID_NANOS - 1;

  private int probesSent;
  private boolean inputEnded;

  /** The number of probes since the input ended; see {@link #PROBES_PER_CHECK}. */
  private int probesSinceInputEnd;

  ClientPresenceCheck(
      ClientSession session,
      Channel channel,
      ResponseSender responses,
      ConnectionPersistence persistence,
      ClientSessionContext context) {
    this.session = session;
    this.channel = channel;
    this.responses = responses;
    this.persistence = persistence;
    handler = context.handler();
    stallDetector = context.stallDetector();
    loop = context.loop();
  }

  /**
   * The time up to which a disconnect would have been detected, if the socket is read at {@code
   * nowNanos}. Right after an event-loop stall what is read may be as old as the stall was long.
   */
  long lastReadUpToNanos(long nowNanos) {
    long earliestNanos = stallDetector.earliestArrivalNanos(nowNanos);
    return stallDetector.noRecentStall(nowNanos)
        ? earliestNanos
        : Math.min(earliestNanos, nowNanos - PRESENCE_VALID_NANOS - 1);
  }

  /** The client's input ended: whether it has left is known once it was probed. */
  void inputEnded() {
    inputEnded = true;
  }

  /** Resets the number of probes after the response to a request. */
  void requestEnded() {
    probesSent = 0;
  }

  /** Schedules probes after the end of the client's input, which is a half-close or a close. */
  void probeAfterHalfClose() {
    for (long delayMillis : HALF_CLOSE_PROBE_DELAYS_MILLIS) {
      loop.schedule(this::probe, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void probe() {
    if (session.awaitsResponse() && channel.isActive()) {
      sendProbe();
    }
  }

  private void sendProbe() {
    if (inputEnded) {
      probesSinceInputEnd++;
    }
    responses.sendContinue();
  }

  /**
   * Whether a disconnect at least 0.1 s ago would have been detected by now. While the connection
   * is read and nothing is left unread, that holds unless the event loop stalled recently. See
   * ClientDisconnectTest#noAttemptStartsAfterTheClientDisconnectedDuringAnEventLoopStall.
   */
  boolean wouldHaveSeenDisconnect() {
    if (!(channel instanceof SocketChannel)) {
      return true;
    }
    long now = System.nanoTime();
    if (inputEnded && probesSinceInputEnd < PROBES_PER_CHECK) {
      return false;
    }
    if (inputEnded || channel.config().isAutoRead() && !session.backlog().isBehind()) {
      return now - lastReadUpToNanos(now) <= PRESENCE_VALID_NANOS;
    }
    // The end of the connection may be behind bytes that have not been read.
    long readUpToNanos = session.backlog().sentAtNanos(now);
    long knownPresentNanos = readUpToNanos - lastProbedNanos > 0 ? readUpToNanos : lastProbedNanos;
    return now - knownPresentNanos <= PRESENCE_VALID_NANOS;
  }

  /**
   * Checks whether the client of the request in flight is connected, and reports a disconnect to
   * the request handler.
   *
   * @param then run after the check in any case
   */
  void check(Runnable then) {
    InFlightRequest request = session.currentRequest();
    boolean caughtUp = channel.config().isAutoRead() && !session.backlog().isBehind();
    boolean probed = inputEnded && probesSinceInputEnd >= PROBES_PER_CHECK;
    if (probed || caughtUp && !inputEnded) {
      // By then the event loop has read what arrived during its stall, including a disconnect.
      loop.schedule(then, EventLoopStallDetector.SETTLE_NANOS, TimeUnit.NANOSECONDS);
    } else if (!inputEnded
        && channel.config().isAutoRead()
        && session.readBuffers().lastReadEmptiedSocket()) {
      ConnectionAcceptor.afterNextSelect(loop, then);
    } else if (persistence.isHttp10() || probesSent >= MAX_PROBES_PER_REQUEST) {
      loop.execute(() -> reportPossiblyDisconnected(request, then));
    } else {
      probesSent += PROBES_PER_CHECK;
      lastProbedNanos = System.nanoTime();
      sendProbe();
      loop.schedule(
          () -> sendSecondProbe(request, then), SECOND_PROBE_DELAY_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Used if the client cannot be probed, because HTTP/1.0 has no interim responses or the probes
   * are used up.
   */
  private void reportPossiblyDisconnected(InFlightRequest request, Runnable then) {
    handler.clientPossiblyDisconnected(request);
    then.run();
  }

  private void sendSecondProbe(InFlightRequest request, Runnable then) {
    if (session.currentRequest() == request && channel.isActive()) {
      sendProbe();
    }
    if (!channel.isActive()) {
      // The failed write closed the channel; channelInactive is called some tasks later.
      handler.clientDisconnected(request);
    }
    then.run();
  }
}
