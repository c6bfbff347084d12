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
 * TLS on clients' connections; the handshakes' key operations run on a thread of their own. One
 * loop's thread.
 */
public final class TlsTermination implements AutoCloseable {
  private static final int SESSIONS = 4_096;
  private static final long SESSION_S = 3_600;
  private static final long CLOSE_NOTIFY_MS = 1_000;

  /**
   * What the configuration's {@code tls} object sets.
   *
   * @param certificate a PEM file: the certificate, then those that sign it
   * @param key a PEM file: its key, PKCS#8 without a password
   * @param handshakes how many run at once
   */
  public record Settings(String certificate, String key, int handshakes) {}

  private final SslContext context;
  private final HandshakeQueue handshakes;
  private final ConnectionMetrics counts;
  private final ThreadPoolExecutor keys;

  /** Loads certificate and key; throws if they can't be used. */
  public TlsTermination(Settings settings, ConnectionMetrics counts) throws IOException {
    // A peer that asks for new keys over and over costs a signature each time.
    System.setProperty("jdk.tls.rejectClientInitiatedRenegotiation", "true");
    this.counts = counts;
    try {
      context =
          SslContextBuilder.forServer(new File(settings.certificate()), new File(settings.key()))
              .sslProvider(SslProvider.JDK)
              .protocols("TLSv1.3", "TLSv1.2")
              .sessionCacheSize(SESSIONS)
              .sessionTimeout(SESSION_S)
              .build();
    } catch (IOException | IllegalArgumentException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new IOException("tls.certificate or tls.key cannot be used: " + cause.getMessage(), e);
    }
    handshakes = new HandshakeQueue(settings.handshakes());
    // Each handshake has one operation waiting at the most.
    keys =
        new ThreadPoolExecutor(
            1,
            1,
            10,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(settings.handshakes() + 1),
            task -> {
              Thread thread = new Thread(task, "tls-keys");
              thread.setDaemon(true);
              return thread;
            });
    keys.allowCoreThreadTimeOut(true);
  }

  /**
   * Stands first on a new connection until its handshake begins; {@code secured} is run when that
   * is through.
   */
  public Gate gate(Runnable secured) {
    return new Gate(secured);
  }

  /** Ends the sending on a connection, and tells so. */
  public void endSending(SocketChannel channel) {
    SslHandler handler = channel.pipeline().get(SslHandler.class);
    if (handler == null) {
      channel.shutdownOutput();
    } else {
      handler.closeOutbound().addListener(done -> channel.shutdownOutput());
    }
  }

  @Override
  public void close() {
    keys.shutdownNow();
  }

  /** Where a connection waits for its turn. */
  public final class Gate extends ChannelInboundHandlerAdapter implements HandshakeQueue.Waiting {
    private final Runnable secured;
    private Channel channel;

    private Gate(Runnable secured) {
      this.secured = secured;
    }

    @Override
    public void channelActive(ChannelHandlerContext at) {
      channel = at.channel();
      // Nothing is read while it waits.
      channel.config().setAutoRead(false);
      boolean placed = handshakes.arrived(this);
      at.fireChannelActive();
      if (!placed) {
        counts.refused.incrementAndGet();
        channel.close();
      }
    }

    @Override
    public void begin() {
      SslHandler handler = context.newHandler(channel.alloc(), keys);
      // The table of connections has its eye on the time.
      handler.setHandshakeTimeoutMillis(0);
      handler.setCloseNotifyFlushTimeoutMillis(CLOSE_NOTIFY_MS);
      handler
          .handshakeFuture()
          .addListener(
              done -> {
                handshakes.left(this);
                if (done.isSuccess()) {
                  secured.run();
                } else {
                  counts.handshakesFailed.incrementAndGet();
                }
              });
      channel.pipeline().addFirst(handler);
      channel.config().setAutoRead(true);
    }

    @Override
    public void channelInactive(ChannelHandlerContext at) {
      handshakes.left(this);
      at.fireChannelInactive();
    }
  }
}
