package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.RequestEndLog.Reason;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Request;
import edgegateway.policy.api.ResponseProgress;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how often requests that were not served are logged. */
class RequestEndLogTest {
  private static final long SECOND_NANOS = 1_000_000_000;

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final PrintStream stream = new PrintStream(text);
  private final RequestEndLog log = new RequestEndLog(new EventLog(stream, stream), 0);
  private final InFlightRequest request =
      new InFlightRequest(
          new Request("t-1", 2, 0, 7, 0, 1, 1, 0, false),
          HttpMethod.GET,
          "/api",
          null,
          0,
          Unpooled.EMPTY_BUFFER,
          null,
          null,
          null);

  private List<String> lines() {
    return text.toString().lines().toList();
  }

  @Test
  void aLineNamesTheRequestAndTheReason() {
    log.notServed(request, RequestEnd.FAILED, Reason.DEADLINE, 0);
    assertEquals(
        List.of(
            "request_not_served id=t-1 class=2 end=FAILED reason=DEADLINE attempts=0"
                + " last_outcome=none left_out=0"),
        lines());
  }

  @Test
  void theRestOfASecondIsCountedInTheNextLine() {
    for (int i = 0; i < 25; i++) {
      log.notServed(request, RequestEnd.REJECTED, Reason.POLICY, 0);
    }
    assertEquals(10, lines().size());
    log.notServed(request, RequestEnd.REJECTED, Reason.POLICY, SECOND_NANOS);
    assertTrue(lines().get(10).endsWith("left_out=15"), lines().get(10));
  }

  @Test
  void manyRejectedRequestsDoNotDisplaceOneThatHadAnAttempt() {
    for (int i = 0; i < 25; i++) {
      log.notServed(request, RequestEnd.REJECTED, Reason.POLICY, 0);
    }
    request.attempts = 1;
    request.lastOutcome = Outcome.TIMEOUT;
    log.notServed(request, RequestEnd.REJECTED, Reason.POLICY, 0);
    assertTrue(
        lines().get(10).endsWith("attempts=1 last_outcome=TIMEOUT left_out=0"), lines().get(10));
  }

  @Test
  void aLineTellsHowFarAResponseThatIsGivenUpHadCome() {
    ResponseProgress progress = new ResponseProgress(163_813, 54_604, 683_000_000, 12_000_000);
    log.responseGivenUp(request, "s-0", progress, false, -12_000_000, 0);
    assertEquals(
        List.of(
            "response_given_up id=t-1 endpoint=s-0 streamed=false declared_bytes=163813"
                + " received_bytes=54604 silent_ms=683 writing_ms=12 late_ms=-12 left_out=0"),
        lines());
  }
}
