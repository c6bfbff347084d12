package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests clients that send requests without pause on one connection. */
@Timeout(60)
class GreedyClientTest extends NodeTest {
  private static final byte[] UNSOUND_REQUESTS =
      "GET /nowhere HTTP/1.1\r\n\r\n".repeat(40_000).getBytes(StandardCharsets.US_ASCII);

  private static final int GREEDY_CLIENTS = 4;
  private static final int SOUND_REQUESTS = 30;
  private static final String SOUND_CLIENT_WAIT_MILLIS = "1000";
  private static final long ANSWER_DUE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** More than the buffers of both systems hold of requests and of their responses. */
  private static final long MAX_ACCEPTED_BYTES = 64L << 20;

  private static final long BLOCKED_AFTER_MILLIS = 3_000;

  private EdgeNode startNodeWithShortObjective() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    return startNode(
        config(asManyMembers(server)).replace("\"aim-ns\": 10000000000", "\"aim-ns\": 900000000"));
  }

  /** Sends unsound requests and reads their responses until the socket is closed. */
  private void startGreedyClient(EdgeNode node) throws IOException {
    Socket socket = client(node);
    FakePeer.startDaemon(
        () -> {
          while (true) {
            socket.getOutputStream().write(UNSOUND_REQUESTS);
          }
        });
    FakePeer.startDaemon(
        () -> {
          byte[] buffer = new byte[1 << 16];
          while (socket.getInputStream().read(buffer) >= 0) {}
        });
  }

  @Test
  void otherClientsGetTheirAnswersInTimeBesideUnsoundRequestsAtFullSpeed() throws Exception {
    EdgeNode node = startNodeWithShortObjective();
    for (int i = 0; i < GREEDY_CLIENTS; i++) {
      startGreedyClient(node);
    }
    Socket sound = client(node);
    List<String> late = new ArrayList<>();
    for (int i = 0; i < SOUND_REQUESTS; i++) {
      long sentNanos = System.nanoTime();
      sendRequest(sound, "GET /api", headers("t-" + i, "lookup", SOUND_CLIENT_WAIT_MILLIS), "");
      String status = status(FakePeer.read(sound));
      long tookNanos = System.nanoTime() - sentNanos;
      if (!status.equals("200") || tookNanos > ANSWER_DUE_NANOS) {
        late.add("t-" + i + " status " + status + " after " + tookNanos / 1_000_000 + " ms");
      }
    }
    assertEquals(List.of(), late);
  }

  @Test
  void aClientThatReadsNoResponsesCannotMakeTheNodeHoldMoreOfThem() throws Exception {
    EdgeNode node = startNodeWithShortObjective();
    InetSocketAddress address = node.address();
    try (SocketChannel channel = SocketChannel.open(address);
        Selector selector = Selector.open()) {
      channel.configureBlocking(false);
      channel.register(selector, SelectionKey.OP_WRITE);
      long acceptedBytes = 0;
      while (selector.select(BLOCKED_AFTER_MILLIS) > 0) {
        selector.selectedKeys().clear();
        acceptedBytes += channel.write(ByteBuffer.wrap(UNSOUND_REQUESTS));
        assertTrue(acceptedBytes < MAX_ACCEPTED_BYTES, "the node goes on reading without end");
      }
    }
  }
}
