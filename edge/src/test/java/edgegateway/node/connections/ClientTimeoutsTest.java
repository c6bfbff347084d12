package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How long a connection may stay in each state. */
class ClientTimeoutsTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long START_NANOS = 5_000 * NANOS_PER_MILLI;
  private final ClientConnectionTable table =
      new ClientConnectionTable(() -> {}, new ConnectionMetrics());
  private final ClientTimeouts timeouts = new ClientTimeouts();

  @BeforeEach
  void applyLimits() {
    table.applyBudget(START_NANOS, new DescriptorBudget(2, 3, 1, 1, 1, 1, 1, List.of()));
    timeouts.setIdleTimeoutNanos(75_000 * NANOS_PER_MILLI);
  }

  private ClientConnection accept(boolean tls) {
    return table.accept(START_NANOS, new InetSocketAddress("10.0.0.1", 1), tls, () -> {});
  }

  private CloseReason expiredAfter(ClientConnection connection, long millis) {
    return timeouts.expired(connection, START_NANOS + millis * NANOS_PER_MILLI);
  }

  private void assertExpiresAfter(ClientConnection connection, long millis, CloseReason reason) {
    assertNull(expiredAfter(connection, millis));
    assertEquals(reason, expiredAfter(connection, millis + 1));
  }

  @Test
  void headTimeoutCountsFromTheAccept() {
    ClientConnection connection = accept(false);
    assertExpiresAfter(connection, 2_400, CloseReason.HEAD_TIMEOUT);
    connection.bytesReceived(START_NANOS + NANOS_PER_MILLI, 10);
    assertExpiresAfter(connection, 2_400, CloseReason.HEAD_TIMEOUT);
  }

  @Test
  void theFirstHeadOverTlsHasALongerTimeout() {
    ClientConnection connection = accept(true);
    assertExpiresAfter(connection, 1_500, CloseReason.HANDSHAKE_TIMEOUT);
    connection.handshakeCompleted();
    assertExpiresAfter(connection, 2_800, CloseReason.HEAD_TIMEOUT);
    connection.responseSubmitted(START_NANOS);
    connection.bytesReceived(START_NANOS, 10);
    assertExpiresAfter(connection, 2_400, CloseReason.HEAD_TIMEOUT);
  }

  @Test
  void aBodyAtTheMinimumRateNeverExpires() {
    ClientConnection connection = accept(false);
    connection.headReceived(START_NANOS);
    connection.bytesReceived(START_NANOS + 10_000 * NANOS_PER_MILLI, 48 * 10_000);
    assertNull(expiredAfter(connection, 12_400));
  }

  @Test
  void aBodyBehindTheMinimumRateExpiresWhenItStalls() {
    ClientConnection connection = accept(false);
    connection.headReceived(START_NANOS);
    connection.bytesReceived(START_NANOS + 1_000 * NANOS_PER_MILLI, 48);
    assertExpiresAfter(connection, 2_500, CloseReason.SLOW_BODY);
  }

  @Test
  void aBodyExpiresWhenItIsTooFarBehindTheMinimumRate() {
    ClientConnection connection = accept(false);
    connection.headReceived(START_NANOS);
    connection.bytesReceived(START_NANOS + 2_900 * NANOS_PER_MILLI, 48);
    assertExpiresAfter(connection, 3_001, CloseReason.SLOW_BODY);
  }

  @Test
  void anIdleConnectionExpiresSoonerInADrain() {
    ClientConnection connection = accept(false);
    connection.responseSubmitted(START_NANOS);
    assertExpiresAfter(connection, 75_000, CloseReason.IDLE_TIMEOUT);
    timeouts.setDraining(true);
    assertExpiresAfter(connection, 600, CloseReason.DRAINED);
  }

  @Test
  void aRequestInFlightNeverExpiresButAnUnreadResponseDoes() {
    ClientConnection connection = accept(false);
    connection.requestReceived();
    assertNull(expiredAfter(connection, 1_000_000));
    connection.writeStarted(START_NANOS);
    assertExpiresAfter(connection, 8_000, CloseReason.RESPONSE_NOT_READ);
    connection.writeCompleted(START_NANOS);
    assertNull(expiredAfter(connection, 1_000_000));
  }

  /** Guards against a timeout within which a client at 64 kB/s frees too little of the buffer. */
  @Test
  void theTimeoutOfAWriteAllowsForTheSizeOfTheSendBuffer() {
    TransportHandle transport =
        new TransportHandle() {
          @Override
          public void close() {}

          @Override
          public int sendBufferBytes() {
            return 4_320_000;
          }
        };
    ClientConnection connection =
        table.accept(START_NANOS, new InetSocketAddress("10.0.0.1", 1), false, transport);
    connection.headReceived(START_NANOS);
    connection.requestReceived();
    connection.writeStarted(START_NANOS);
    connection.responseSubmitted(START_NANOS);
    assertExpiresAfter(connection, 53_000, CloseReason.RESPONSE_NOT_READ);
  }

  @Test
  void aConnectionOverCapacityHasAShortTimeout() {
    accept(false);
    accept(false);
    ClientConnection connection = accept(false);
    assertExpiresAfter(connection, 500, CloseReason.OVER_CAPACITY);
    connection.requestReceived();
    assertNull(expiredAfter(connection, 1_000_000));
  }
}
