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

/** Two processes of one edge node, here two nodes with one folder, at one clients' address. */
@Timeout(60)
class UpgradeTest extends NodeTest {
  @TempDir Path folder;

  /**
   * Connections in the old process's line once were reset, and its health once sent the front away.
   */
  @Test
  void noConnectionIsLostAndHealthSaysYesThroughout() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    EdgeNode first = startNode(config(member("s-0", server.address(), "Ready", 0)), folder);
    first.admit();
    while (!first.ready()) {
      assertFalse(Thread.interrupted(), "it takes no clients");
    }
    Socket kept = client(first);
    assertEquals("200", exchangeOrder(kept, "t-0"));
    assertFalse(first.slots.isOtherProcessAlive());
    EdgeNode next =
        new EdgeNode(
            NodeConfigParser.parse(
                config(member("s-0", server.address(), "Ready", 0))
                    .replace("127.0.0.1:0", "127.0.0.1:" + first.address().getPort())),
            folder);
    toClose.add(next);
    assertTrue(next.slots.isOtherProcessAlive());
    assertTrue(first.slots.isOtherProcessAlive());
    assertFalse(first.slots.isOtherProcessAccepting());
    next.startAsSuccessor();
    assertTrue(first.slots.isOtherProcessAccepting());
    List<Socket> clients = new ArrayList<>();
    // The old process is busy: what the kernel gives it stays in its line, and SIGTERM comes
    // behind.
    CompletableFuture<Void> busy = new CompletableFuture<>();
    first.loop.execute(busy::join);
    for (int i = 0; i < 50; i++) {
      Socket client = client(next);
      clients.add(client);
      sendRequest(client, "GET /_health", Map.of(), "");
    }
    sendOrder(kept, "t-1");
    CompletableFuture<CompletableFuture<Void>> stopping =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return first.stop();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    busy.complete(null);
    CompletableFuture<Void> stopped = stopping.get(60, TimeUnit.SECONDS);
    assertEquals("200", status(FakePeer.read(kept)), "a kept connection is answered once more");
    assertNull(FakePeer.read(kept));
    for (Socket client : clients) {
      assertEquals("200", status(FakePeer.read(client)));
    }
    stopped.get(60, TimeUnit.SECONDS);
    assertEquals("200", exchangeOrder(client(next), "t-2"));
    next.importPredecessorState();
    assertFalse(Files.exists(folder.resolve("handover")), "it is read and gone");
  }

  @Test
  void aLeftoverOfAnEarlierUpgradeIsNoOtherProcess() throws Exception {
    Files.write(folder.resolve("slots"), new byte[] {1, 1, 1, 1});
    Files.write(folder.resolve("handover"), new byte[] {1});
    EdgeNode node = startNode(config(), folder);
    assertFalse(node.slots.isOtherProcessAlive());
    assertFalse(node.slots.isOtherProcessAccepting());
  }

  @Test
  void whatIsHandedOverIsReadOnceAndWholeOrNotAtAll() throws IOException {
    HandoverFile file = new HandoverFile(folder);
    assertNull(file.read());
    StateTransfer told =
        new StateTransfer(
            3.5,
            List.of(0.2, 0.3),
            List.of(
                new QuotaUsage(7, 1, 2, -3, 0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 123_456_789_012L)));
    file.write(told);
    assertEquals(told, file.read());
    assertNull(file.read());
    file.write(told);
    byte[] whole = Files.readAllBytes(folder.resolve("handover"));
    Files.write(folder.resolve("handover"), Arrays.copyOf(whole, whole.length - 3));
    assertNull(file.read());
    whole[3] ^= 1;
    Files.write(folder.resolve("handover"), whole);
    assertNull(file.read());
    file.write(told);
    file.discard();
    // A folder that is gone must not keep the old process from its end.
    new HandoverFile(folder.resolve("gone")).write(told);
    assertNull(file.read());
  }
}
