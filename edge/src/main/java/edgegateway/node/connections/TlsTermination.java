package edgegateway.node.connections;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * TLS on clients' connections. For the event loop's thread; the handshakes' key operations run on a
 * thread of their own, so that they do not hold up the event loop.
 */
public final class TlsTermination implements AutoCloseable {
  private static final int SESSION_CACHE_SIZE = 4_096;
  private static final long SESSION_TIMEOUT_SECONDS = 3_600;
  private static final long CLOSE_NOTIFY_FLUSH_TIMEOUT_MILLIS = 1_000;
  private static final long KEY_THREAD_IDLE_SECONDS = 10;

  /**
   * What the configuration's {@code tls} object sets.
   *
   * @param certificate a PEM file: the certificate, then those that sign it
   * @param key a PEM file: its key, PKCS#8 without a password
   * @param maxConcurrentHandshakes how many run at once
   */
  public record Settings(String certificate, String key, int maxConcurrentHandshakes) {}

  private final SslContext context;
  private final HandshakeQueue handshakes;
  private final ConnectionMetrics metrics;
  private final ThreadPoolExecutor keyOperations;

  /**
   * Loads certificate and key.
   *
   * @throws IOException if they cannot be used; the message names the settings and the cause
   */
  public TlsTermination(Settings settings, ConnectionMetrics metrics) throws IOException {
    // A client that renegotiates over and over would cost a signature each time.
    System.setProperty("jdk.tls.rejectClientInitiatedRenegotiation", "true");
    this.metrics = metrics;
    context = loadContext(settings);
    handshakes = new HandshakeQueue(settings.maxConcurrentHandshakes());
    keyOperations = newKeyOperations(settings.maxConcurrentHandshakes());
  }

  private static SslContext loadContext(Settings settings) throws IOException {
    try {
      return SslContextBuilder.forServer(new File(settings.certificate()), new File(settings.key()))
          .sslProvider(SslProvider.JDK)
          .protocols("TLSv1.3", "TLSv1.2")
          .sessionCacheSize(SESSION_CACHE_SIZE)
          .sessionTimeout(SESSION_TIMEOUT_SECONDS)
          .build();
    } catch (IOException | IllegalArgumentException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new IOException("tls.certificate or tls.key cannot be used: " + cause.getMessage(), e);
    }
  }

  private static ThreadPoolExecutor newKeyOperations(int maxConcurrentHandshakes) {
    // Each handshake has at most one operation pending.
    int queueCapacity = maxConcurrentHandshakes + 1;
    ThreadPoolExecutor executor =
        new ThreadPoolExecutor(
            1,
            1,
            KEY_THREAD_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(queueCapacity),
            TlsTermination::newKeyThread);
    executor.allowCoreThreadTimeOut(true);
    return executor;
  }

  private static Thread newKeyThread(Runnable task) {
    Thread thread = new Thread(task, "tls-keys");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * The first handler of a new connection.
   *
   * @param onHandshakeCompleted run when the handshake succeeded
   */
  public HandshakeGate newHandshakeGate(Runnable onHandshakeCompleted) {
    return new HandshakeGate(onHandshakeCompleted);
  }

  /** Ends the output of a connection, by {@code close_notify} where TLS was begun. */
  public void shutdownOutput(SocketChannel channel) {
    SslHandler handler = channel.pipeline().get(SslHandler.class);
    if (handler == null) {
      channel.shutdownOutput();
    } else {
      handler.closeOutbound().addListener(done -> channel.shutdownOutput());
    }
  }

  @Override
  public void close() {
    keyOperations.shutdownNow();
  }

  /**
   * The first handler of a connection: it holds back reading until the handshake's turn has come,
   * and adds Netty's TLS handler before itself then.
   */
  public final class HandshakeGate extends ChannelInboundHandlerAdapter
      implements HandshakeQueue.PendingHandshake {
    private final Runnable onHandshakeCompleted;
    private Channel channel;

    private HandshakeGate(Runnable onHandshakeCompleted) {
      this.onHandshakeCompleted = onHandshakeCompleted;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      // Nothing is read while the handshake is queued.
      channel.config().setAutoRead(false);
      boolean queued = handshakes.submit(this);
      context.fireChannelActive();
      if (!queued) {
        metrics.rejected.incrementAndGet();
        channel.close();
      }
    }

    @Override
    public void begin() {
      SslHandler handler = context.newHandler(channel.alloc(), keyOperations);
      // ClientConnectionTable enforces the timeout.
      handler.setHandshakeTimeoutMillis(0);
      handler.setCloseNotifyFlushTimeoutMillis(CLOSE_NOTIFY_FLUSH_TIMEOUT_MILLIS);
      handler
          .handshakeFuture()
          .addListener(
              done -> {
                handshakes.remove(this);
                if (done.isSuccess()) {
                  onHandshakeCompleted.run();
                } else {
                  metrics.handshakesFailed.incrementAndGet();
                }
              });
      channel.pipeline().addFirst(handler);
      channel.config().setAutoRead(true);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      handshakes.remove(this);
      context.fireChannelInactive();
    }
  }
}
