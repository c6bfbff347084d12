package edgegateway.node.clients;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnectionTable;
import edgegateway.node.connections.ConnectionAcceptor;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.logging.EventLog;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The HTTP server for clients: listens, drains and stops. Each connection has a {@link
 * ClientSession}; the {@link ClientConnectionTable} decides which connections are accepted and when
 * they are closed. Methods must be called on the event loop's thread unless they say otherwise.
 */
public final class ClientHttpServer {
  private static final EventLog LOG = EventLog.console();
  private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200;
  private static final long DRAIN_GRACE_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(ClientConnectionTable.DRAIN_GRACE_NANOS);

  private final EventLoop loop;
  private final NodeConfig config;
  private final ClientConnectionTable connections;
  private final ConnectionAcceptor acceptor;
  private final CutResponseLog cutResponses;

  /** Null if clients' connections are not encrypted. */
  private final TlsTermination tls;

  private final ClientSessionContext sessionContext;
  private volatile boolean draining;

  /** Ends the grace period of a drain, during which new connections are still expected. */
  private Future<?> drainGraceTimer;

  /** Completed when the last connection is closed; null until {@link #stop} is called. */
  private volatile CompletableFuture<Void> drained;

  /** Whether another process of this node has taken over accepting clients. */
  private volatile boolean superseded;

  /** The result of binding the listening socket; null before that. */
  private CompletableFuture<Void> binding;

  /**
   * Creates a server that does not listen yet.
   *
   * @throws IOException if the configured certificate or key cannot be used
   */
  public ClientHttpServer(
      ClientRequestHandler handler,
      EventLoop loop,
      NodeConfig config,
      ConnectionMetrics connectionMetrics,
      BufferedBodies bufferedBodies,
      BodyRelay.Group relays,
      EventLoopStallDetector stallDetector)
      throws IOException {
    this.loop = loop;
    this.config = config;
    connections = new ClientConnectionTable(this::scheduleEvictions, connectionMetrics);
    acceptor = new ConnectionAcceptor(loop, this::descriptorsExhausted);
    cutResponses = new CutResponseLog(connectionMetrics);
    tls = config.tls() == null ? null : new TlsTermination(config.tls(), connectionMetrics);
    sessionContext =
        new ClientSessionContext(
            new SessionEvents(),
            handler,
            new RequestParser(config, handler),
            new ConnectionCloser(loop, tls),
            connections,
            bufferedBodies,
            relays,
            new PipelineScheduler(loop),
            stallDetector,
            loop,
            tls != null);
    loop.scheduleAtFixedRate(
        this::enforceTimeouts,
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Runs evictions after the sockets were read once more, so that a connection whose request has
   * already arrived is not evicted.
   */
  private void scheduleEvictions() {
    ConnectionAcceptor.afterNextSelect(loop, () -> connections.evictSelected(System.nanoTime()));
  }

  private void enforceTimeouts() {
    connections.enforceTimeouts(System.nanoTime());
    cutResponses.logNew();
  }

  /** Applies a new budget of file descriptors. */
  public void applyBudget(DescriptorBudget budget) {
    connections.applyBudget(System.nanoTime(), budget);
  }

  /**
   * Called when the process has no file descriptor left in spite of the budget: closes some
   * clients' connections.
   */
  public void descriptorsExhausted() {
    if (connections.descriptorsExhausted(System.nanoTime())) {
      LOG.warn("client_descriptors_exhausted", field("connections", connections.openCount()));
    }
  }

  /**
   * Starts listening. May be called on any thread.
   *
   * @return completes when the server listens, or at once, with no effect, if it was already
   *     stopped
   */
  public CompletableFuture<Void> bind() {
    return CompletableFuture.supplyAsync(this::bindUnlessStopped, loop)
        .thenCompose(Function.identity());
  }

  private CompletableFuture<Void> bindUnlessStopped() {
    if (drained != null) {
      return CompletableFuture.completedFuture(null);
    }
    binding = acceptor.bind(config.listen(), true, this::addHandlers);
    return binding;
  }

  private void addHandlers(Channel channel) {
    StrictRequestDecoder decoder = newDecoder();
    ClientSession session = new ClientSession(sessionContext, decoder);
    channel.config().setRecvByteBufAllocator(session.readBuffers());
    ChannelPipeline pipeline = channel.pipeline();
    if (tls != null) {
      pipeline.addLast(tls.newHandshakeGate(session::handshakeCompleted));
    }
    pipeline.addLast(decoder, new HttpResponseEncoder(), session);
  }

  /** Creates the handlers for a connection without a socket. */
  public ChannelHandler[] newHandlers() {
    StrictRequestDecoder decoder = newDecoder();
    ClientSession session = new ClientSession(sessionContext, decoder);
    return new ChannelHandler[] {decoder, new HttpResponseEncoder(), session};
  }

  private static StrictRequestDecoder newDecoder() {
    return new StrictRequestDecoder(InFlightRequest.MAX_BUFFERED_BODY_BYTES);
  }

  /** Stops the TLS threads; does not close connections. */
  public void close() {
    if (tls != null) {
      tls.close();
    }
  }

  /** The address that the server listens at. May be called on any thread once it is bound. */
  public InetSocketAddress address() {
    return acceptor.address();
  }

  /** Whether the server is draining or stopped. May be called on any thread. */
  public boolean isDraining() {
    return draining;
  }

  /** Whether {@link #stop} was called. May be called on any thread. */
  public boolean isStopping() {
    return drained != null;
  }

  /**
   * Whether another process of this node has taken over accepting clients. May be called on any
   * thread.
   */
  public boolean isSuperseded() {
    return superseded;
  }

  /**
   * Starts or ends a drain. During a drain, each connection closes after its next response, and
   * after a grace period connections without a request are closed too. The server keeps listening,
   * for health checks.
   *
   * @return false if the drain cannot be ended because the server was stopped
   */
  public boolean setDraining(boolean on) {
    if (drained != null) {
      return on;
    }
    if (on && !draining) {
      drainGraceTimer =
          loop.schedule(
              connections::closeIdleConnections, DRAIN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    } else if (!on && draining) {
      drainGraceTimer.cancel(false);
    }
    draining = on;
    connections.setDraining(on);
    return true;
  }

  /**
   * Starts a drain that cannot be ended. The server stops listening after the grace period, or at
   * once if another process of the node has taken over.
   *
   * @param done completed when the last connection is closed
   * @param hasSuccessor whether another process of the node has taken over accepting clients
   */
  public void stop(CompletableFuture<Void> done, boolean hasSuccessor) {
    superseded = hasSuccessor;
    setDraining(true);
    drained = done;
    if (binding == null) {
      // Stopped during startup, before the server listened. See
      // RaceConditionsTest#aSignalDuringStartupEndsTheProcess.
      completeDrain();
      return;
    }
    if (hasSuccessor) {
      acceptor.close(this::completeDrain);
    }
    loop.schedule(this::endDrainGrace, DRAIN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void endDrainGrace() {
    acceptor.close(this::completeDrain);
    connections.closeIdleConnections();
  }

  private void completeDrain() {
    if (drained != null && !acceptor.isOpen() && connections.openCount() == 0) {
      cutResponses.logNew();
      drained.complete(null);
    }
  }

  /** Handles the events of sessions. */
  private final class SessionEvents implements ClientSessionContext.ServerEvents {
    @Override
    public boolean isDraining() {
      return draining;
    }

    @Override
    public long openedAtNanos(long nowNanos) {
      return acceptor.openedAtNanos(nowNanos);
    }

    @Override
    public void connectionOpened() {
      if (connections.isFull()) {
        acceptor.pauseAccepting();
      }
    }

    @Override
    public void connectionRemoved() {
      acceptor.resumeAccepting();
    }

    @Override
    public void sessionEnded() {
      completeDrain();
    }
  }
}
