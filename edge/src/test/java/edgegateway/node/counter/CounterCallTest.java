package edgegateway.node.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the outcomes of a single call and the URI of its request, without a connection. */
class CounterCallTest {
  /** The largest counter name, 2^64 - 1, as a signed long. */
  private static final long MAX_COUNTER_NAME = -1;

  private final List<String> reportedOutcomes = new ArrayList<>();

  /** A call that adds 1.5 to the counter named 4, with a lifetime of 1 ns. */
  private CounterCall newCall() {
    return new CounterCall(
        (counterName, outcome, total) ->
            reportedOutcomes.add(counterName + " " + outcome + " " + total),
        4,
        1.5,
        1);
  }

  @Test
  void aLateReplyToATimedOutCallIsIgnored() {
    CounterCall call = newCall();
    call.writeCompleted(true);
    call.timeOut();
    call.succeed(7);
    call.connectionLost();
    assertEquals(List.of("4 TIMEOUT 0.0"), reportedOutcomes);
    assertTrue(call.hasEnded());
  }

  @Test
  void aReplyEndsTheCallWithTheTotal() {
    CounterCall call = newCall();
    call.writeCompleted(true);
    call.succeed(7);
    assertEquals(List.of("4 OK 7.0"), reportedOutcomes);
  }

  @Test
  void aCallNotWrittenCompletelyEndsAsConnectFailed() {
    newCall().timeOut();
    CounterCall failedWrite = newCall();
    failedWrite.writeCompleted(false);
    failedWrite.connectionLost();
    assertEquals(List.of("4 CONNECT_FAILED 0.0", "4 CONNECT_FAILED 0.0"), reportedOutcomes);
  }

  @Test
  void aConnectionLostAfterTheCallWasWrittenIsAReset() {
    CounterCall call = newCall();
    call.writeCompleted(true);
    call.connectionLost();
    assertEquals(List.of("4 RESET 0.0"), reportedOutcomes);
  }

  @Test
  void uriHasAnUnsignedNameAndTheLifetimeRoundedUpToAtLeastOneMillisecond() {
    assertEquals(
        "/tally/18446744073709551615?n=-2.25&keep_ms=1",
        CounterProtocol.uri(MAX_COUNTER_NAME, -2.25, 0));
    assertEquals("/tally/4?n=1.5&keep_ms=2", CounterProtocol.uri(4, 1.5, 1_000_001));
  }
}
