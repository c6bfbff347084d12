package edgegateway.node.clients;

import edgegateway.node.connections.ClientConnection;
import edgegateway.node.connections.TlsTermination;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes clients' connections, either after their last response or by a reset. Has no state per
 * connection. Used on the event loop's thread only.
 */
final class ConnectionCloser {
  private static final long LINGER_MILLIS = 1_000;

  private final EventLoop loop;

  /** Null where connections are not encrypted. */
  private final TlsTermination tls;

  ConnectionCloser(EventLoop loop, TlsTermination tls) {
    this.loop = loop;
    this.tls = tls;
  }

  /**
   * Closes a connection whose last response was written (lingering close). Closing a socket with
   * unread input resets the connection, and the reset discards the part of the response that is
   * still in the kernel's buffers. Therefore this shuts down only the output and discards further
   * input until the client closes too or {@link #LINGER_MILLIS} have passed. See
   * ResponseEndTest#aResponseIsCompleteThoughMoreArrivesDuringTheClose.
   */
  void closeLingering(SocketChannel channel, ClientConnection connection) {
    connection.lingering();
    if (tls == null) {
      channel.shutdownOutput();
    } else {
      tls.shutdownOutput(channel);
    }
    channel.config().setAutoRead(true);
    loop.schedule(() -> close(channel), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static void close(Channel channel) {
    channel.close();
  }

  /**
   * Resets a connection, so that the client recognizes at once that its response is truncated, even
   * if it has unread data and even if the response is delimited by the connection's close. Bypasses
   * the TLS handler, whose {@code close_notify} would mark the response as complete. See
   * LongBodyTest#aResponseIncompleteAtItsDeadlineIsResetSoThatTheClientCanTell and
   * TlsTest#aTruncatedResponseWithoutLengthEndsWithoutCloseNotify.
   */
  static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.pipeline().firstContext().close();
  }
}
