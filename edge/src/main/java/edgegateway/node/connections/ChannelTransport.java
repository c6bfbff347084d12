package edgegateway.node.connections;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.SocketChannel;

/** The socket of a Netty channel. */
public record ChannelTransport(Channel channel) implements TransportHandle {
  @Override
  public void close() {
    channel.close();
  }

  @Override
  public int sendBufferBytes() {
    try {
      return channel instanceof SocketChannel socket ? socket.config().getSendBufferSize() : 0;
    } catch (ChannelException e) {
      // The socket is closed.
      return 0;
    }
  }
}
