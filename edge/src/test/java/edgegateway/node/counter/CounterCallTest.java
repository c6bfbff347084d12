package edgegateway.node.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How one call ends, without a connection. */
class CounterCallTest {
  private static final long MINUS_ONE_UNSIGNED = -1;
  private final List<String> ends = new ArrayList<>();

  private CounterCall call() {
    return new CounterCall(
        (name, outcome, total) -> ends.add(name + " " + outcome + " " + total), 4, 1.5, 1);
  }

  @Test
  void aCallThatTimedOutIgnoresItsLateReply() {
    CounterCall call = call();
    call.writeCompleted(true);
    call.timeOut();
    call.succeed(7);
    call.connectionLost();
    assertEquals(List.of("4 TIMEOUT 0.0"), ends);
    assertTrue(call.hasEnded());
  }

  @Test
  void aReplyEndsTheCallWithItsTotal() {
    CounterCall call = call();
    call.writeCompleted(true);
    call.succeed(7);
    assertEquals(List.of("4 OK 7.0"), ends);
  }

  @Test
  void beforeItsLastByteIsWrittenNothingWasAdded() {
    call().timeOut();
    CounterCall lost = call();
    lost.writeCompleted(false);
    lost.connectionLost();
    assertEquals(List.of("4 CONNECT_FAILED 0.0", "4 CONNECT_FAILED 0.0"), ends);
  }

  @Test
  void afterItsLastByteIsWrittenALossIsAReset() {
    CounterCall call = call();
    call.writeCompleted(true);
    call.connectionLost();
    assertEquals(List.of("4 RESET 0.0"), ends);
  }

  @Test
  void namesAreUnsignedAndLifetimesAreRoundedUpToMilliseconds() {
    assertEquals(
        "/tally/18446744073709551615?n=-2.25&keep_ms=1",
        CounterProtocol.uri(MINUS_ONE_UNSIGNED, -2.25, 0));
    assertEquals("/tally/4?n=1.5&keep_ms=2", CounterProtocol.uri(4, 1.5, 1_000_001));
  }
}
