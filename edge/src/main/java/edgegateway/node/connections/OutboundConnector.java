package edgegateway.node.connections;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Connects outwards. */
public final class OutboundConnector {
  private OutboundConnector() {}

  /**
   * Begins to connect; throws if there is no descriptor for it. Left to the bootstrap, that would
   * be reported on a thread of Netty's own, by a channel that never closes.
   */
  public static ChannelFuture connect(Bootstrap bootstrap, InetSocketAddress to)
      throws IOException {
    Channel channel;
    try {
      channel = new NioSocketChannel();
    } catch (ChannelException e) {
      throw new IOException("no descriptor for a connection", e);
    }
    return bootstrap.clone().channelFactory(() -> channel).connect(to);
  }
}
