package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A table of client connections without sockets, on a fake clock. */
abstract class ClientConnectionTableFixture {
  static final long MS = 1_000_000L;
  final ConnectionMetrics metrics = new ConnectionMetrics();
  final List<FakeClient> closedClients = new ArrayList<>();
  boolean evictionsScheduled;
  long evictedCount;
  final ClientConnectionTable table =
      new ClientConnectionTable(
          () -> {
            assertFalse(evictionsScheduled, "an eviction step is scheduled already");
            evictionsScheduled = true;
          },
          metrics);
  long now = 5_000_000 * MS;

  /** A client's connection without a socket. */
  final class FakeClient implements TransportHandle {
    final ClientConnection connection;
    final int peer;
    long idleSince = now;
    boolean closed;
    boolean busy;

    /** Whether the client, and not the table, closes the connection. */
    boolean leaving;

    long writeStartedAt;

    FakeClient(int peer) {
      this.peer = peer;
      connection = table.accept(now, address(peer), false, this);
    }

    void serve() {
      connection.headReceived(now);
      connection.requestReceived();
      connection.responseSubmitted(now);
      idleSince = now;
    }

    /** Serves a request whose response is written only at {@link #completeWrite}. */
    void serveUnwritten() {
      connection.headReceived(now);
      connection.requestReceived();
      startWrite();
      connection.responseSubmitted(now);
    }

    void startWrite() {
      connection.writeStarted(now);
      writeStartedAt = now;
    }

    void completeWrite() {
      connection.writeCompleted(now);
      idleSince = now;
    }

    @Override
    public void close() {
      boolean stalled = connection.hasUnwrittenResponse() && now - writeStartedAt > 8_000 * MS;
      assertFalse(busy && !stalled, "connection closed with a request in flight");
      assertFalse(closed, "closed twice");
      assertTrue(
          leaving || stalled || !connection.hasUnwrittenResponse(),
          "closed with an unwritten response");
      closed = true;
      closedClients.add(this);
      if (metricValues().get("evicted") > evictedCount) {
        evictedCount++;
        assertTrue(
            now - idleSince >= 2_000 * MS, "evicted after " + (now - idleSince) / MS + " ms");
      }
      connection.closed();
    }
  }

  static SocketAddress address(int peer) {
    return new InetSocketAddress("10.0." + peer / 256 + "." + peer % 256, 1000);
  }

  void applyBudget(int clients, int rejectionSlots) {
    table.applyBudget(
        now,
        new DescriptorBudget(clients, rejectionSlots, 10, 10, 4, 1 << 20, 75_000 * MS, List.of()));
  }

  void advance(long ms) {
    now += ms * MS;
    while (evictionsScheduled) {
      evictionsScheduled = false;
      table.evictSelected(now);
    }
  }

  Map<String, Long> metricValues() {
    Map<String, Long> values = new TreeMap<>();
    metrics.forEach(values::put);
    return values;
  }
}
