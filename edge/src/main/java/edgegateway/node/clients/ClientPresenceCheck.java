package edgegateway.node.clients;

import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Finds out whether the client of a request in flight is still there, so that no attempt begins for
 * one that left over 0.1 s ago. Netty reports neither a close nor a reset of a connection that is
 * not read; and a client that closed looks like one that ended its side only. Both are told apart
 * by writing {@code 100 Continue}, which a client that is there ignores, and which a closed socket
 * answers with a reset. Shown by ClientDisconnectTest. For the event loop's thread.
 */
final class ClientPresenceCheck {
  /**
   * When a client that ended its side is probed, after that: the first probe that arrives once its
   * socket is closed is answered with a reset. At most four, for some clients accept no more
   * interim responses.
   */
  private static final long[] HALF_CLOSE_PROBE_DELAYS_MILLIS = {0, 10, 35, 70};

  /**
   * How long a client that is not read counts as present after it was known to be. Together with
   * {@link #SECOND_PROBE_DELAY_NANOS} this stays under the 0.1 s in which an attempt may begin for
   * a client that left.
   */
  private static final long PRESENCE_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** After the first probe; a write fails once the first was answered with a reset. */
  private static final long SECOND_PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static final int PROBES_PER_CHECK = 2;

  /** For one request whose client is not read. */
  private static final int MAX_PROBES = 4;

  private final ClientSession session;
  private final Channel channel;
  private final ResponseSender responses;
  private final ConnectionPersistence persistence;
  private final ClientRequestHandler handler;
  private final EventLoopStallDetector stallDetector;
  private final EventLoop loop;

  /** When the client was last known to be there, while it is not read. */
  private long lastPresentNanos;

  private int probesSent;

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

  /** The client is read no longer; it is known to be there now. */
  void readingPaused() {
    lastPresentNanos = System.nanoTime();
  }

  /** The request in flight has its response. */
  void requestEnded() {
    probesSent = 0;
  }

  /** The client ended its side, or closed: probes it for a while. */
  void probeAfterHalfClose() {
    for (long delayMillis : HALF_CLOSE_PROBE_DELAYS_MILLIS) {
      loop.schedule(this::probe, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void probe() {
    if (session.awaitsResponse() && channel.isActive()) {
      responses.sendContinue();
    }
  }

  /**
   * Whether the client would have been seen to leave, if it left 0.1 s ago or longer. While it is
   * read, that holds unless the event loop stalled just now. Shown by
   * ClientDisconnectTest#noAttemptStartsAfterTheClientDisconnectedDuringAnEventLoopStall.
   */
  boolean wouldHaveSeenDisconnect() {
    if (!(channel instanceof SocketChannel)) {
      return true;
    }
    long now = System.nanoTime();
    return channel.config().isAutoRead()
        ? stallDetector.noRecentStall(now)
        : now - lastPresentNanos <= PRESENCE_VALID_NANOS;
  }

  /** Checks the client of the request in flight; {@code then} is run after that. */
  void check(Runnable then) {
    InFlightRequest request = session.currentRequest();
    if (channel.config().isAutoRead()) {
      // What the client sent during a stall is read meanwhile.
      loop.schedule(then, EventLoopStallDetector.SETTLE_NANOS, TimeUnit.NANOSECONDS);
    } else if (persistence.isHttp10() || probesSent >= MAX_PROBES) {
      loop.execute(() -> reportPossiblyDisconnected(request, then));
    } else {
      probesSent += PROBES_PER_CHECK;
      lastPresentNanos = System.nanoTime();
      responses.sendContinue();
      loop.schedule(
          () -> probeAgain(request, then), SECOND_PROBE_DELAY_NANOS, TimeUnit.NANOSECONDS);
    }
  }

  /** There is no way to ask the client. */
  private void reportPossiblyDisconnected(InFlightRequest request, Runnable then) {
    handler.clientPossiblyDisconnected(request);
    then.run();
  }

  private void probeAgain(InFlightRequest request, Runnable then) {
    if (session.currentRequest() == request && channel.isActive()) {
      responses.sendContinue();
    }
    if (!channel.isActive()) {
      // The failed write closed the channel, but channelInactive comes some tasks later.
      handler.clientDisconnected(request);
    }
    then.run();
  }
}
