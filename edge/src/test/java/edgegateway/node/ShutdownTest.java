package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfigParser;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node that is stopped while its archive servers hang, with clients that send until the kill. */
@Timeout(60)
class ShutdownTest extends NodeTest {
  /** The longest client timeout that counts, and 0.7 s. */
  private static final int KILL_MILLIS = 3_700;

  /** Below the rate at which clients are owed patience. */
  private static final int STEP_MILLIS = 50;

  private long stoppedNanos;

  private void awaitMillisAfterStop(long millis) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(
        stoppedNanos + TimeUnit.MILLISECONDS.toNanos(millis) - System.nanoTime());
  }

  private static byte[] head(String id, int bodyBytes) {
    StringBuilder head = new StringBuilder("POST /api HTTP/1.1\r\n");
    headers(id, "order", "20000")
        .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(bodyBytes).append("\r\n\r\n");
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends bytes in even steps between two times after the stop. */
  private void sendBetween(Socket client, byte[] bytes, int fromMillis, int toMillis)
      throws IOException, InterruptedException {
    OutputStream out = client.getOutputStream();
    int steps = (toMillis - fromMillis) / STEP_MILLIS;
    for (int step = 0; step < steps; step++) {
      awaitMillisAfterStop(fromMillis + (long) step * STEP_MILLIS);
      int from = (int) ((long) bytes.length * step / steps);
      int to = (int) ((long) bytes.length * (step + 1) / steps);
      out.write(bytes, from, to - from);
    }
  }

  /** What a client does after the stop. */
  private interface Sending {
    void send(Socket client) throws IOException, InterruptedException;
  }

  /** Returns when the response of a client came, in milliseconds after the stop. */
  private CompletableFuture<Long> answeredAfter(Socket client, Sending sending) {
    CompletableFuture<Long> result = new CompletableFuture<>();
    FakePeer.startDaemon(
        () -> {
          try {
            sending.send(client);
            assertNotNull(FakePeer.read(client), "the connection ended without a response");
            result.complete(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos));
          } catch (IOException | AssertionError e) {
            result.completeExceptionally(e);
          }
        });
    return result;
  }

  /** Guards against requests without an answer when the process is killed after SIGTERM. */
  @Test
  void everyRequestIsAnsweredBeforeTheKillThoughServersHang() throws Exception {
    assertAllAreAnsweredBeforeTheKill(startNode(config(asManyMembers(peer(m -> {})))));
  }

  /** The same for the old process of an upgrade, which ends by the same clock. */
  @Test
  void everyRequestIsAnsweredBeforeTheKillInAnUpgrade(@TempDir Path folder) throws Exception {
    String config = config(asManyMembers(peer(m -> {})));
    EdgeNode oldNode = startNode(config, folder);
    oldNode.admit();
    EdgeNode newNode = new EdgeNode(NodeConfigParser.parse(config), folder);
    toClose.add(newNode);
    newNode.startAsSuccessor();
    assertTrue(oldNode.slots.isOtherProcessAccepting());
    assertAllAreAnsweredBeforeTheKill(oldNode);
  }

  private void assertAllAreAnsweredBeforeTheKill(EdgeNode node) throws Exception {
    Socket waiting = client(node);
    sendOrder(waiting, "t-waiting");
    Socket slowHead = client(node);
    Socket upload = client(node);
    Socket lateUpload = client(node);
    Socket shortBody = client(node);
    byte[] uploadHead = head("t-upload", 200_000);
    upload.getOutputStream().write(uploadHead);
    upload.getOutputStream().write(new byte[80_000]);
    slowHead.getOutputStream().write("POST /a".getBytes(StandardCharsets.US_ASCII));
    stoppedNanos = System.nanoTime();
    node.stop();
    List<CompletableFuture<Long>> answers = new ArrayList<>();
    answers.add(answeredAfter(waiting, client -> {}));
    answers.add(answeredAfter(upload, client -> sendBetween(client, new byte[120_000], 0, 2_300)));
    byte[] restOfHead =
        new String(head("t-slow", 0), StandardCharsets.US_ASCII)
            .substring("POST /a".length())
            .getBytes(StandardCharsets.US_ASCII);
    answers.add(answeredAfter(slowHead, client -> sendBetween(client, restOfHead, 100, 2_100)));
    answers.add(
        answeredAfter(
            lateUpload,
            client -> {
              sendBetween(client, head("t-late", 200_000), 300, 400);
              sendBetween(client, new byte[200_000], 400, 3_500);
            }));
    answers.add(
        answeredAfter(
            shortBody,
            client -> {
              sendBetween(client, head("t-short", 60_000), 500, 2_500);
              sendBetween(client, new byte[60_000], 2_500, 3_500);
            }));
    assertAllCameBeforeTheKill(answers);
    assertEquals(0, metric(node, "in_progress"));
  }

  private static void assertAllCameBeforeTheKill(List<CompletableFuture<Long>> answers)
      throws Exception {
    for (CompletableFuture<Long> answer : answers) {
      long millis = answer.get(30, TimeUnit.SECONDS);
      assertTrue(millis < KILL_MILLIS, "answered " + millis + " ms after the stop");
    }
  }
}
