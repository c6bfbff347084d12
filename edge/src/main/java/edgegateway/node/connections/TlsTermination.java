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
 * TLS termination of clients' connections. Used on the event loop's thread; the handshakes' key
 * operations run on a separate thread, so that they do not block the event loop.
 */
public final class TlsTermination implements AutoCloseable {
  private static final int SESSION_CACHE_SIZE = 4_096;
  private static final long SESSION_TIMEOUT_SECONDS = 3_600;
  private static final long CLOSE_NOTIFY_FLUSH_TIMEOUT_MILLIS = 1_000;
  private static final long KEY_THREAD_IDLE_SECONDS = 10;

  /**
   * The configuration's {@code tls} object.
   *
   * @param certificate path of a PEM file with the certificate, followed by its chain
   * @param key path of a PEM file with the private key, PKCS#8 without a password
   * @param maxConcurrentHandshakes number of handshakes that may run at once
   */
  public record Settings(String certificate, String key, int maxConcurrentHandshakes) {}

  private final SslContext context;
  private final HandshakeQueue handshakes;
  private final ConnectionMetrics metrics;
  private final ThreadPoolExecutor keyOperations;

  /**
   * Loads the certificate and the key.
   *
   * @throws IOException if either cannot be used; the message names the settings and the cause
   */
  public TlsTermination(Settings settings, ConnectionMetrics metrics) throws IOException {
    // Each renegotiation costs a signature, so a client could use up the CPU by renegotiating.
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
   * Creates the first handler of a new connection.
   *
   * @param onHandshakeCompleted run when the handshake has succeeded
   */
  public HandshakeGate newHandshakeGate(Runnable onHandshakeCompleted) {
    return new HandshakeGate(onHandshakeCompleted);
  }

  /** Shuts down the output of a connection, after {@code close_notify} if its handshake began. */
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
   * The first handler of a connection: it suspends reading until the handshake may begin, and then
   * inserts Netty's TLS handler before itself.
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
      boolean accepted = handshakes.submit(this);
      context.fireChannelActive();
      if (!accepted) {
        metrics.rejected.incrementAndGet();
        channel.close();
      }
    }

    @Override
    public void begin() {
      SslHandler handler = context.newHandler(channel.alloc(), keyOperations);
      // No timeout here: ClientConnectionTable enforces it.
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
