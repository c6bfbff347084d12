package edgegateway.testbed.network;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A link between two sockets of the test's. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TcpLinkTest {
  private static final long MS = 1_000_000L;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private volatile LinkConditions there = LinkConditions.GOOD;
  private volatile LinkConditions back = LinkConditions.GOOD;
  private ServerSocket target;
  private TcpLink link;
  private Socket client;
  private Socket server;

  @BeforeEach
  void open() throws IOException {
    target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    link =
        new TcpLink(
            group.next(),
            new InetSocketAddress("127.0.0.1", 0),
            (InetSocketAddress) target.getLocalSocketAddress(),
            () -> there,
            () -> back,
            new SplittableRandom(5));
    client = connect(10_000);
    server = target.accept();
  }

  @AfterEach
  void close() throws IOException {
    link.close();
    target.close();
    client.close();
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private Socket connect(int millis) throws IOException {
    Socket socket = new Socket();
    socket.connect(link.address(), millis);
    return socket;
  }

  private static void says(Socket from, Socket to, int word) throws IOException {
    from.getOutputStream().write(word);
    assertEquals(word, to.getInputStream().read());
  }

  private void conditions(LinkConditions forth, LinkConditions home) throws IOException {
    there = forth;
    back = home;
    link.changed();
  }

  private static byte[] bytes(int length) {
    byte[] bytes = new byte[length];
    new SplittableRandom(9).nextBytes(bytes);
    return bytes;
  }

  @Test
  void allPassesAndEachSideEndsByItself() throws Exception {
    says(client, server, 1);
    says(server, client, 2);
    byte[] sent = bytes(3_000_000);
    CompletableFuture<Void> writing =
        CompletableFuture.runAsync(
            () -> {
              try {
                client.getOutputStream().write(sent);
                client.shutdownOutput();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    assertArrayEquals(sent, server.getInputStream().readAllBytes());
    writing.get();
    says(server, client, 3);
    server.close();
    assertEquals(-1, client.getInputStream().read());
  }

  @Test
  void atThirtyPercentLossAllComesInOrderAndLate() throws Exception {
    conditions(new LinkConditions(false, 0.3, 0, 2 * MS, MS, 0), LinkConditions.GOOD);
    byte[] sent = bytes(40);
    long began = System.nanoTime();
    for (byte one : sent) {
      client.getOutputStream().write(one);
      // Each a part of its own.
      says(server, client, 7);
    }
    assertArrayEquals(sent, server.getInputStream().readNBytes(sent.length));
    assertTrue(System.nanoTime() - began >= TcpStreamModel.LEAST_TIMEOUT, "nothing was lost");
  }

  /** The far side still hears; only its answers do not come. */
  @Test
  void aOneWayCutIsSilentAndHealsWithWhatWasInFlight() throws Exception {
    conditions(LinkConditions.GOOD, LinkConditions.CUT);
    says(client, server, 1);
    server.getOutputStream().write(2);
    client.setSoTimeout(300);
    assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
    assertThrows(
        SocketTimeoutException.class, () -> connect(300), "a new connection came up over a cut");
    conditions(LinkConditions.GOOD, LinkConditions.GOOD);
    client.setSoTimeout(20_000);
    assertEquals(2, client.getInputStream().read());
    try (Socket next = connect(10_000);
        Socket taken = target.accept()) {
      says(next, taken, 3);
    }
  }

  @Test
  void aProcessThatIsGoneIsRefusedAndItsConnectionsAreReset() throws Exception {
    link.up(false);
    link.reset();
    assertThrows(SocketException.class, () -> client.getInputStream().read());
    assertThrows(ConnectException.class, () -> connect(10_000));
    link.up(true);
    try (Socket next = connect(10_000)) {
      try (Socket taken = target.accept()) {
        says(next, taken, 3);
        taken.setSoLinger(true, 0);
      }
      assertThrows(
          SocketException.class, () -> next.getInputStream().read(), "a reset came as an end");
    }
  }

  @Test
  void aReceiverThatDoesNotReadHoldsTheSenderBack() throws Exception {
    client.getOutputStream().write(1);
    CompletableFuture<Void> writing =
        CompletableFuture.runAsync(
            () -> {
              try {
                client.getOutputStream().write(bytes(64 << 20));
                client.shutdownOutput();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    assertThrows(TimeoutException.class, () -> writing.get(1, TimeUnit.SECONDS));
    assertEquals((64 << 20) + 1, server.getInputStream().readAllBytes().length);
    writing.get(20, TimeUnit.SECONDS);
  }
}
