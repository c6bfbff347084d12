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
 * The server of clients' connections: listens, drains and stops. Each connection has a {@link
 * ClientSession}; which connections there are, and for how long, is the {@link
 * ClientConnectionTable}'s. For the event loop's thread but where a method says otherwise.
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

  /** Null where clients' connections are not encrypted. */
  private final TlsTermination tls;

  private final ClientSessionContext sessionContext;
  private volatile boolean draining;

  /** Ends the grace time of a drain, in which connections keep arriving. */
  private Future<?> drainGraceTimer;

  /** Completed when the last connection is closed; null until the server is stopped. */
  private volatile CompletableFuture<Void> drained;

  private volatile boolean superseded;

  /** Null until it was begun to listen. */
  private CompletableFuture<Void> binding;

  /**
   * Does not listen yet.
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
            stallDetector,
            loop,
            tls != null);
    loop.scheduleAtFixedRate(
        () -> connections.enforceTimeouts(System.nanoTime()),
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TIMEOUT_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Evictions run after the sockets were read: a request that crosses its eviction is kept. */
  private void scheduleEvictions() {
    ConnectionAcceptor.afterNextSelect(loop, () -> connections.evictSelected(System.nanoTime()));
  }

  /** Applies a new budget of descriptors. */
  public void applyBudget(DescriptorBudget budget) {
    connections.applyBudget(System.nanoTime(), budget);
  }

  /** No descriptor is left, whatever the budget says: some clients' connections are given up. */
  public void descriptorsExhausted() {
    if (connections.descriptorsExhausted(System.nanoTime())) {
      LOG.warn("client_descriptors_exhausted", field("connections", connections.openCount()));
    }
  }

  /**
   * Begins to listen; any thread.
   *
   * @return completes when it listens, or at once, with nothing done, if it was stopped already
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
    ChannelPipeline pipeline = channel.pipeline();
    if (tls != null) {
      pipeline.addLast(tls.newHandshakeGate(session::handshakeCompleted));
    }
    pipeline.addLast(decoder, new HttpResponseEncoder(), session);
  }

  /** New handlers of a connection, for one that is no socket. */
  public ChannelHandler[] newHandlers() {
    StrictRequestDecoder decoder = newDecoder();
    ClientSession session = new ClientSession(sessionContext, decoder);
    return new ChannelHandler[] {decoder, new HttpResponseEncoder(), session};
  }

  private static StrictRequestDecoder newDecoder() {
    return new StrictRequestDecoder(InFlightRequest.MAX_BUFFERED_BODY_BYTES);
  }

  /** Ends the threads of TLS; connections are not closed. */
  public void close() {
    if (tls != null) {
      tls.close();
    }
  }

  /** The address it listens at; any thread, once bound. */
  public InetSocketAddress address() {
    return acceptor.address();
  }

  /** Whether the health check turns clients away; any thread. */
  public boolean isDraining() {
    return draining;
  }

  /** Whether the server was stopped; any thread. */
  public boolean isStopping() {
    return drained != null;
  }

  /** Whether another process of this node takes its clients now; any thread. */
  public boolean isSuperseded() {
    return superseded;
  }

  /**
   * Begins or ends a drain. In a drain each connection closes with its next response, and after a
   * grace time those without a request close too. The server keeps listening, for health checks.
   *
   * @return false if the server was stopped and cannot accept clients again
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
   * Drains for good. After the grace time it listens no longer; at once if another process of the
   * node takes its clients.
   *
   * @param done completed when the last connection is closed
   */
  public void stop(CompletableFuture<Void> done, boolean bySuccessor) {
    superseded = bySuccessor;
    setDraining(true);
    drained = done;
    if (binding == null) {
      // Stopped during the start, before it listened: shown by
      // RaceConditionsTest#aSignalInTheMidstOfAStartEndsIt.
      completeDrain();
      return;
    }
    if (bySuccessor) {
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
      drained.complete(null);
    }
  }

  /** What sessions report. */
  private final class SessionEvents implements ClientSessionContext.ServerEvents {
    @Override
    public boolean isDraining() {
      return draining;
    }

    @Override
    public void connectionAccepted() {
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
