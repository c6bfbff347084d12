package edgegateway.node.clients;

import edgegateway.node.connections.ClientConnection;
import edgegateway.node.connections.TlsTermination;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;

/** Ends clients' connections. Holds no state of a connection. For the event loop's thread. */
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
   * Closes a connection whose last response was written (lingering close). A close while bytes are
   * unread is a reset, which takes back what of the response the kernel still holds. So only the
   * output is shut down, and what arrives is dropped, until the client closes too or a time is
   * over. Shown by RaceConditionsTest#anAnswerIsWholeThoughMoreCameInTheMomentOfTheClose.
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
   * Resets a connection, so that the client can tell at once that its response is cut off, whatever
   * it has still to read and however the response's end is marked. Past the TLS handler, whose
   * {@code close_notify} would be a proper end. Shown by
   * LongBodyTest#anAnswerThatIsNotWholeInItsClientsTimeIsCutSoThatTheClientCanTell and
   * TlsTest#anAnswerOfNoLengthThatIsCutEndsWithNoNotice.
   */
  static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.pipeline().firstContext().close();
  }
}
