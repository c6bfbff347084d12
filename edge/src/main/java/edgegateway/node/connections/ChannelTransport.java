package edgegateway.node.connections;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.socket.SocketChannel;

/** The socket of a Netty channel. */
public record ChannelTransport(Channel channel) implements TransportHandle {
  /** On Linux the JDK tells half of the size that the kernel uses. */
  private static final int KERNEL_BYTES_PER_REPORTED_BYTE = 2;

  @Override
  public void close() {
    channel.close();
  }

  @Override
  public int sendBufferBytes() {
    try {
      return channel instanceof SocketChannel socket
          ? KERNEL_BYTES_PER_REPORTED_BYTE * socket.config().getSendBufferSize()
          : 0;
    } catch (ChannelException e) {
      // The socket is closed.
      return 0;
    }
  }
}
