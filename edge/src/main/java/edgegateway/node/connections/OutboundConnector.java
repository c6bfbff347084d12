package edgegateway.node.connections;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens outbound TCP connections. */
public final class OutboundConnector {
  private OutboundConnector() {}

  /**
   * Starts connecting.
   *
   * <p>Creates the channel before the bootstrap does: if the bootstrap fails to create it, the
   * failure is reported on one of Netty's global threads, with a channel that never closes.
   *
   * @throws IOException if no file descriptor is left for the connection
   */
  public static ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress address)
      throws IOException {
    Channel channel;
    try {
      channel = new NioSocketChannel();
    } catch (ChannelException e) {
      throw new IOException("no file descriptor left for an outbound connection", e);
    }
    return bootstrap.clone().channelFactory(() -> channel).connect(address);
  }
}
