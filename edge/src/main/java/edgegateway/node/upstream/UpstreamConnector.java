package edgegateway.node.upstream;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.ChannelTransport;
import edgegateway.node.connections.ConnectFailure;
import edgegateway.node.connections.OutboundConnector;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.connections.Upstream;
import edgegateway.node.connections.UpstreamConnection;
import edgegateway.node.connections.UpstreamTransport;
import edgegateway.node.logging.EventLog;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Opens TCP connections to archive servers and installs their channel handlers. */
final class UpstreamConnector implements UpstreamTransport {
  private static final EventLog LOG = EventLog.console();

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1024;

  /** Limits the size of one read, whose decoded messages are handled before the next read. */
  private static final int MAX_READ_BYTES = 32 * 1024;

  private final UpstreamContext context;
  private final Bootstrap bootstrap;

  UpstreamConnector(UpstreamContext context, long connectTimeoutNanos) {
    this.context = context;
    long connectTimeoutMillis = TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos);
    bootstrap =
        new Bootstrap()
            .group(context.loop())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, readBufferAllocator())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(handlers());
                  }
                });
  }

  private static RecvByteBufAllocator readBufferAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }

  /** Creates the handlers of one connection, in pipeline order. */
  ChannelHandler[] handlers() {
    StrictHttpResponseDecoder decoder = new StrictHttpResponseDecoder();
    return new ChannelHandler[] {
      new HttpRequestEncoder(), decoder, new UpstreamConnectionHandler(context, decoder)
    };
  }

  /** Returns the last of the {@link #handlers} of a channel. */
  static UpstreamConnectionHandler handlerOf(Channel channel) {
    return channel.pipeline().get(UpstreamConnectionHandler.class);
  }

  @Override
  public void connect(UpstreamConnection connection) {
    InetSocketAddress address = (InetSocketAddress) connection.upstream().address();
    ChannelFuture connectFuture;
    try {
      connectFuture = OutboundConnector.connect(bootstrap, address);
    } catch (IOException e) {
      LOG.warn("upstream_connection_not_opened", field("address", address), field("error", e));
      context
          .loop()
          .execute(() -> connection.connectFailed(System.nanoTime(), ConnectFailure.NO_DESCRIPTOR));
      return;
    }
    Channel channel = connectFuture.channel();
    connection.attachTransport(new ChannelTransport(channel));
    connectFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            handlerOf(channel).established(connection);
            connection.connected(System.nanoTime());
          } else {
            connection.connectFailed(System.nanoTime(), failureOf(done.cause()));
          }
        });
  }

  private static ConnectFailure failureOf(Throwable cause) {
    boolean timedOut = cause instanceof ConnectTimeoutException;
    return timedOut ? ConnectFailure.UNRESPONSIVE : ConnectFailure.REFUSED;
  }

  @Override
  public void scheduleRecheck(Upstream upstream, long delayNanos) {
    context
        .loop()
        .schedule(
            () -> upstream.connectIfNeeded(System.nanoTime()), delayNanos, TimeUnit.NANOSECONDS);
  }
}
