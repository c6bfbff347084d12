package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Admission, eviction, timeouts and drain of client connections, on a fake clock. */
class ClientConnectionTableTest extends ClientConnectionTableFixture {
  @Test
  void connectionsWithinCapacityAreAllAccepted() {
    applyBudget(100, 8);
    for (int i = 0; i < 100; i++) {
      assertFalse(new FakeClient(1).connection.isOverCapacity());
    }
    assertEquals(100, table.openCount());
    assertTrue(closedClients.isEmpty());
  }

  @Test
  void theLongestIdleConnectionOfTheLargestPeerIsEvicted() {
    applyBudget(10, 4);
    List<FakeClient> greedy = new ArrayList<>();
    FakeClient lone = new FakeClient(2);
    lone.serve();
    for (int i = 0; i < 9; i++) {
      advance(1);
      greedy.add(new FakeClient(1));
      greedy.get(i).serve();
    }
    greedy.get(0).serve();
    advance(2_000);
    FakeClient newcomer = new FakeClient(3);
    assertFalse(newcomer.connection.isOverCapacity());
    advance(1);
    assertEquals(
        List.of(greedy.get(1)),
        closedClients,
        "neither the longest idle of all peers nor one that was used since");
    assertEquals(1L, metricValues().get("evicted"));
  }

  @Test
  void noConnectionIsEvictedBeforeTwoSecondsIdle() {
    applyBudget(10, 4);
    for (int i = 0; i < 10; i++) {
      new FakeClient(1).serve();
    }
    advance(1_999);
    assertFalse(
        new FakeClient(2).connection.isOverCapacity(),
        "a peer with fewer connections is accepted over capacity");
    assertTrue(
        new FakeClient(1).connection.isOverCapacity(),
        "a connection of the peer with the most connections is rejected");
    advance(0);
    assertTrue(closedClients.isEmpty());
    advance(1);
    assertFalse(new FakeClient(1).connection.isOverCapacity());
    advance(0);
    assertEquals(2, closedClients.size());
  }

  @Test
  void aRequestThatArrivesBeforeTheEvictionCancelsIt() {
    applyBudget(2, 2);
    FakeClient first = new FakeClient(1);
    first.serve();
    advance(1);
    FakeClient second = new FakeClient(1);
    second.serve();
    advance(2_500);
    assertFalse(new FakeClient(2).connection.isOverCapacity());
    // It was selected for eviction, but its request arrives before the eviction.
    first.connection.headReceived(now);
    first.connection.requestReceived();
    first.busy = true;
    advance(1);
    assertEquals(List.of(second), closedClients, "another connection is evicted instead");
  }

  @Test
  void clientsWithoutRequestsCannotExcludeOtherPeers() {
    applyBudget(20, 8);
    for (int i = 0; i < 20; i++) {
      FakeClient withoutRequest = new FakeClient(1);
      if (i % 2 == 0) {
        withoutRequest.connection.bytesReceived(now, 0);
      }
    }
    for (int i = 0; i < 40; i++) {
      new FakeClient(1);
    }
    int served = 0;
    for (int peer = 2; peer < 6; peer++) {
      FakeClient other = new FakeClient(peer);
      served += other.connection != null && !other.connection.isOverCapacity() ? 1 : 0;
    }
    assertEquals(4, served);
    advance(2_401);
    table.enforceTimeouts(now);
    assertEquals(0, table.openCount(), "no connection has sent a request head in time");
  }

  @Test
  void aPeerMayUseTheFullCapacityAndIsRejectedAboveIt() {
    applyBudget(10, 6);
    for (int i = 0; i < 10; i++) {
      FakeClient client = new FakeClient(1);
      client.connection.headReceived(now);
      client.connection.requestReceived();
      client.busy = true;
    }
    FakeClient rejected = new FakeClient(1);
    assertTrue(rejected.connection.isOverCapacity());
    assertTrue(rejected.connection.shouldCloseAfterResponse());
    FakeClient second = new FakeClient(1);
    assertNotNull(second.connection);
    advance(1);
    assertNotNull(new FakeClient(1).connection);
    assertEquals(
        List.of(rejected), closedClients, "two thirds of the rejection slots stay for other peers");
    second.connection.headReceived(now);
    second.connection.requestReceived();
    second.busy = true;
    advance(501);
    table.enforceTimeouts(now);
    assertEquals(2L, metricValues().get("timed_out.crowded"));
    assertEquals(3L, metricValues().get("refused"));
  }

  @Test
  void eachStateHasAnOwnTimeout() {
    applyBudget(100, 8);
    FakeClient withoutRequest = new FakeClient(1);
    FakeClient slow = new FakeClient(2);
    slow.connection.bytesReceived(now, 0);
    FakeClient body = new FakeClient(3);
    body.connection.headReceived(now);
    FakeClient unread = new FakeClient(4);
    unread.serveUnwritten();
    FakeClient idle = new FakeClient(5);
    idle.serve();
    FakeClient alsoIdle = new FakeClient(6);
    FakeClient tls = acceptTls(7);
    FakeClient busy = new FakeClient(8);
    busy.connection.headReceived(now);
    busy.connection.requestReceived();
    busy.busy = true;
    alsoIdle.serve();
    long startedAt = now;
    Map<String, Long> expiredAtMillis = new HashMap<>();
    while (now < startedAt + 80_000 * MS) {
      now += 50 * MS;
      Map<String, Long> before = metricValues();
      table.enforceTimeouts(now);
      metricValues()
          .forEach(
              (name, value) -> {
                if (value > before.get(name) && name.startsWith("timed")) {
                  expiredAtMillis.putIfAbsent(name, (now - startedAt) / MS);
                }
              });
    }
    assertTrue(
        withoutRequest.closed
            && slow.closed
            && body.closed
            && unread.closed
            && idle.closed
            && tls.closed);
    assertFalse(busy.closed);
    assertEquals(
        Map.of(
            "timed_out.handshake",
            1_550L,
            "timed_out.head",
            2_450L,
            "timed_out.body",
            2_450L,
            "timed_out.unread",
            8_050L,
            "timed_out.idle",
            75_050L),
        expiredAtMillis);
  }

  private FakeClient acceptTls(int peer) {
    FakeClient[] accepted = new FakeClient[1];
    FakeClient client = new FakeClient(peer);
    client.connection.closed();
    client.closed = true;
    ClientConnection connection =
        table.accept(now, address(peer), true, () -> accepted[0].closed = true);
    accepted[0] = client;
    client.closed = false;
    assertEquals(1L, metricValues().get("handshaking"));
    assertNotNull(connection);
    return client;
  }

  @Test
  void aBodyAboveTheMinimumRateNeverTimesOut() {
    applyBudget(10, 4);
    FakeClient steady = new FakeClient(1);
    steady.connection.headReceived(now);
    for (int i = 0; i < 100; i++) {
      advance(100);
      steady.connection.bytesReceived(now, 6_400);
      table.enforceTimeouts(now);
    }
    assertFalse(steady.closed);
  }

  @Test
  void aDrainClosesIdleConnectionsInBatches() {
    applyBudget(100, 8);
    for (int i = 0; i < 20; i++) {
      new FakeClient(i).serve();
    }
    FakeClient readingHead = new FakeClient(50);
    readingHead.connection.bytesReceived(now, 0);
    table.setDraining(true);
    table.closeIdleConnections();
    evictionsScheduled = false;
    table.evictSelected(now);
    assertEquals(4, closedClients.size());
    assertTrue(evictionsScheduled);
    advance(0);
    assertEquals(20, closedClients.size());
    assertFalse(readingHead.closed);
    FakeClient newClient = new FakeClient(60);
    table.setDraining(false);
    advance(1_000);
    table.enforceTimeouts(now);
    assertFalse(newClient.closed);
  }

  /** Tells apart which close cut a complete response, and does not count any other close. */
  @Test
  void aCloseBeforeTheResponseIsWrittenIsCountedByReason() {
    applyBudget(10, 4);
    FakeClient written = new FakeClient(1);
    written.connection.writeStarted(now);
    written.connection.writeCompleted(now);
    written.connection.closedBy(CloseReason.RESPONSE_DEADLINE);
    assertEquals(0L, metricValues().get("responses_cut"));
    FakeClient unwritten = new FakeClient(1);
    unwritten.connection.writeStarted(now);
    unwritten.connection.closedBy(CloseReason.RESPONSE_DEADLINE);
    assertEquals(1L, metricValues().get("responses_cut"));
    assertEquals(1L, metrics.responsesCut(CloseReason.RESPONSE_DEADLINE));
    assertEquals(2L, metricValues().get("response_deadline"));
  }

  @Test
  void aSmallerBudgetIsReachedAsConnectionsBecomeIdle() {
    applyBudget(20, 4);
    List<FakeClient> all = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      FakeClient client = new FakeClient(1);
      client.serve();
      all.add(client);
      client.connection.headReceived(now);
      client.connection.requestReceived();
      client.busy = i < 15;
      if (!client.busy) {
        client.connection.responseSubmitted(now);
      }
    }
    advance(2_001);
    applyBudget(10, 2);
    advance(1);
    assertEquals(15, table.openCount());
    assertTrue(
        all.get(0).connection.shouldCloseAfterResponse(), "the response announces the close");
    all.get(0).busy = false;
    all.get(0).connection.responseSubmitted(now);
    advance(2_001);
    table.enforceTimeouts(now);
    advance(1);
    assertEquals(14, table.openCount());
  }

  @Test
  void exhaustedDescriptorsLowerTheCapacityTemporarily() {
    applyBudget(100, 8);
    for (int i = 0; i < 40; i++) {
      new FakeClient(1).serve();
    }
    advance(2_100);
    assertTrue(table.descriptorsExhausted(now));
    assertFalse(table.descriptorsExhausted(now), "not the first report");
    advance(1);
    assertEquals(32, table.openCount());
    FakeClient first = new FakeClient(2);
    advance(1);
    assertNotNull(first.connection);
    assertEquals(32, table.openCount(), "another connection is evicted for the new one");
    // The capacity recovers until it is back at the budget.
    for (int i = 0; i < 10_000 && !evictionsScheduled; i++) {
      now += 200 * MS;
      first.serve();
      table.enforceTimeouts(now);
      evictionsScheduled = false;
    }
    assertTrue(
        table.descriptorsExhausted(now),
        "the capacity has recovered, so this is a first report again");
  }

  /** Guards against closes that cut the last response, such as those of a drain (review/2). */
  @Test
  void aConnectionWithAnUnwrittenResponseIsNotIdle() {
    applyBudget(2, 4);
    FakeClient unwritten = new FakeClient(1);
    unwritten.serveUnwritten();
    FakeClient behind = new FakeClient(1);
    behind.serveUnwritten();
    behind.connection.bytesReceived(now, 0);
    advance(3_000);
    new FakeClient(2);
    advance(0);
    table.setDraining(true);
    table.closeIdleConnections();
    for (int i = 0; i < 20; i++) {
      advance(200);
      table.enforceTimeouts(now);
      assertFalse(unwritten.closed || behind.closed, "closed at step " + i);
    }
    assertEquals(0L, metricValues().get("responses_cut"));
    unwritten.completeWrite();
    behind.completeWrite();
    for (int i = 0; i < 3; i++) {
      advance(200);
      table.enforceTimeouts(now);
    }
    assertFalse(unwritten.closed, "closed before the drain's grace period");
    advance(200);
    table.enforceTimeouts(now);
    assertTrue(unwritten.closed, "kept in a drain though its response was written");
    assertFalse(behind.closed, "closed within its head timeout");
    advance(2_000);
    table.enforceTimeouts(now);
    assertTrue(behind.closed, "kept though its next request stays incomplete");
  }
}
