package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.upgrade.HandoverFile;
import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.StateTransfer;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * An upgrade: the old and the new process of an edge node listen at the same address. Here they are
 * two nodes in one process that share a folder.
 */
@Timeout(60)
class UpgradeTest extends NodeTest {
  @TempDir Path sharedFolder;

  /**
   * Guards against two faults: the connections in the accept queue of the old process were reset
   * when it ended, and its failing health check made the load balancer stop sending clients.
   */
  @Test
  void noConnectionIsLostAndTheHealthCheckNeverFails() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode oldNode = startNode(config(member("s-0", server.address(), "Ready", 0)), sharedFolder);
    oldNode.admit();
    while (!oldNode.ready()) {
      assertFalse(Thread.interrupted(), "the old node does not become ready for clients");
    }
    Socket persistentClient = client(oldNode);
    assertEquals("200", exchangeOrder(persistentClient, "t-0"));
    assertFalse(oldNode.slots.isOtherProcessAlive());
    EdgeNode newNode =
        new EdgeNode(
            NodeConfigParser.parse(
                config(member("s-0", server.address(), "Ready", 0))
                    .replace("127.0.0.1:0", "127.0.0.1:" + oldNode.address().getPort())),
            sharedFolder);
    toClose.add(newNode);
    assertTrue(newNode.slots.isOtherProcessAlive());
    assertTrue(oldNode.slots.isOtherProcessAlive());
    assertFalse(oldNode.slots.isOtherProcessAccepting());
    newNode.startAsSuccessor();
    assertTrue(oldNode.slots.isOtherProcessAccepting());
    List<Socket> clients = new ArrayList<>();
    // While the event loop of the old node is blocked, the connections that the kernel assigns to
    // this node stay in its accept queue. The stop, as on SIGTERM, comes after them.
    CompletableFuture<Void> unblockLoop = new CompletableFuture<>();
    oldNode.loop.execute(unblockLoop::join);
    for (int i = 0; i < 50; i++) {
      Socket client = client(newNode);
      clients.add(client);
      sendRequest(client, "GET /_health", Map.of(), "");
    }
    sendOrder(persistentClient, "t-1");
    CompletableFuture<CompletableFuture<Void>> stopping =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return oldNode.stop();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    unblockLoop.complete(null);
    CompletableFuture<Void> stopped = stopping.get(60, TimeUnit.SECONDS);
    assertEquals(
        "200",
        status(FakePeer.read(persistentClient)),
        "a persistent connection gets one more response");
    assertNull(FakePeer.read(persistentClient));
    for (Socket client : clients) {
      assertEquals("200", status(FakePeer.read(client)));
    }
    stopped.get(60, TimeUnit.SECONDS);
    assertEquals("200", exchangeOrder(client(newNode), "t-2"));
    newNode.importPredecessorState();
    assertFalse(
        Files.exists(sharedFolder.resolve("handover")), "the handover file was not deleted");
  }

  @Test
  void filesOfAnEarlierUpgradeDoNotCountAsAnotherProcess() throws Exception {
    Files.write(sharedFolder.resolve("slots"), new byte[] {1, 1, 1, 1});
    Files.write(sharedFolder.resolve("handover"), new byte[] {1});
    EdgeNode node = startNode(config(), sharedFolder);
    assertFalse(node.slots.isOtherProcessAlive());
    assertFalse(node.slots.isOtherProcessAccepting());
  }

  @Test
  void theHandoverFileIsReadOnceAndOnlyIfComplete() throws IOException {
    HandoverFile file = new HandoverFile(sharedFolder);
    assertNull(file.read());
    StateTransfer state =
        new StateTransfer(
            3.5,
            List.of(0.2, 0.3),
            List.of(
                new QuotaUsage(7, 1, 2, -3, 0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 123_456_789_012L)));
    file.write(state);
    assertEquals(state, file.read());
    assertNull(file.read());
    file.write(state);
    byte[] bytes = Files.readAllBytes(sharedFolder.resolve("handover"));
    Files.write(sharedFolder.resolve("handover"), Arrays.copyOf(bytes, bytes.length - 3));
    assertNull(file.read());
    bytes[3] ^= 1;
    Files.write(sharedFolder.resolve("handover"), bytes);
    assertNull(file.read());
    file.write(state);
    file.discard();
    // A failed write must not throw, or it would prevent the old process from exiting.
    new HandoverFile(sharedFolder.resolve("missing")).write(state);
    assertNull(file.read());
  }
}
