package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.junit.jupiter.api.Test;

class ChannelTransportTest {
  private static final int BYTES = 64 << 10;

  /** Guards against the half of the buffer's size that the JDK tells: slow readers were cut. */
  @Test
  void theSendBufferIsTheOneThatTheKernelUses() {
    NioSocketChannel channel = new NioSocketChannel();
    channel.config().setSendBufferSize(BYTES);
    assertEquals(2 * BYTES, new ChannelTransport(channel).sendBufferBytes());
    channel.unsafe().closeForcibly();
  }

  @Test
  void aChannelWithoutASocketHasNoSendBuffer() {
    assertEquals(0, new ChannelTransport(new EmbeddedChannel()).sendBufferBytes());
  }
}
