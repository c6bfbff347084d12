package edgegateway.testbed.network;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A listening address whose loop has much else to do. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FaultyListenerTest {
  private static final int BUSY_MS = 5;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicBoolean busy = new AtomicBoolean(true);

  @AfterEach
  void close() {
    busy.set(false);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Keeps the loop from its selector: one task begets the next. */
  private void work(EventLoop loop) {
    try {
      Thread.sleep(BUSY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (busy.get()) {
      loop.execute(() -> work(loop));
    }
  }

  @Test
  void whoeverConnectsOnceItRefusesIsRefusedAlthoughTheLoopIsBusy() throws Exception {
    EventLoop loop = group.next();
    FaultyListener door =
        new FaultyListener(
            loop, new InetSocketAddress("127.0.0.1", 0), new ChannelInboundHandlerAdapter());
    door.be(FaultyListener.State.TAKES);
    loop.execute(() -> work(loop));
    door.be(FaultyListener.State.REFUSES);
    try (Socket socket = new Socket()) {
      assertThrows(ConnectException.class, () -> socket.connect(door.address(), 1_000));
    }
  }
}
