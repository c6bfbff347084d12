package edgegateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** Runs batches of events through {@link WireReader} and checks the replies and errors. */
class WireReaderTest {
  private static final String START_NODE =
      "start 3 9 classes.count=1 classes.0.aim-ns=500000000 classes.0.deadline-ns=900000000"
          + " classes.0.idempotency=retryable classes.0.worth=1 caps.max-attempts=2"
          + " tariffs.count=1 siblings=1";
  private static final String ENDPOINT_LIST = "view 3 1 1 1\nentry 1 0 1 - 0 srv 0";
  private static final String REQUEST = "ingress 3 r-a 0 0 77 800000005 1 1 0 -";

  private static String batch(long nowNanos, String... events) {
    return "mark " + nowNanos + "\n" + String.join("\n", events) + "\ncommit\n";
  }

  private static String repliesTo(String input) throws IOException, MalformedInputException {
    StringWriter out = new StringWriter();
    new WireReader(new BufferedReader(new StringReader(input)), new WireWriter(out)).run();
    return out.toString();
  }

  private static String errorOf(String input) {
    return assertThrows(MalformedInputException.class, () -> repliesTo(input)).getMessage();
  }

  @Test
  void requestIsSentToTheListedEndpoint() throws Exception {
    String reply = repliesTo(batch(5, START_NODE, ENDPOINT_LIST, REQUEST));
    assertTrue(reply.startsWith("after 3 0 10000000\n"), reply);
    assertTrue(reply.contains("\ntry 3 r-a srv "), reply);
    assertTrue(reply.endsWith("\nyield\n"), reply);
  }

  @Test
  void rejectedAttemptIsRetriedAndSuccessCompletesTheRequest() throws Exception {
    String output =
        repliesTo(
            batch(5, START_NODE, ENDPOINT_LIST, REQUEST)
                + batch(1_000_005, "resolved 3 r-a F 1000000 srv 0 0 - - -")
                + batch(2_000_005, "resolved 3 r-a S 1000000 srv 1 1 - - -", "client_gone 3 r-a"));
    String[] replies = output.split("yield\n", -1);
    assertTrue(replies[1].startsWith("try 3 r-a srv "), output);
    assertEquals("", replies[2], output);
    assertEquals(4, replies.length, output);
  }

  @Test
  void acceptsEventsOfEveryKind() throws Exception {
    repliesTo(
        batch(
            5,
            START_NODE,
            ENDPOINT_LIST,
            "view 3 2 2 0",
            "view 3 3 3 0",
            "view 3 4 0 1\nentry 1 0 2 - 0 srv 0",
            "under_way 3 r-x 0 srv 1",
            "client_gone 3 r-x",
            "count_result 3 4 S 17 1",
            "probed 3 1 S srv -",
            "reminder 3 0",
            "memo 3 1 aGk=",
            "retire 3",
            "retire 3"));
  }

  @Test
  void eventForAStoppedNodeIsAnError() {
    assertEquals(
        "line 4: node 3 is not running: reminder 3 0",
        errorOf(batch(5, START_NODE, "retire 3", "reminder 3 0")));
  }

  @Test
  void batchWithoutBeginOrEndIsAnError() {
    assertEquals("line 1: expected 'mark' at the start of a batch: hello", errorOf("hello\n"));
    assertEquals(
        "line 1: the input ended inside a batch after this line: mark 5", errorOf("mark 5\n"));
  }

  @Test
  void errorNamesAnUnknownEvent() {
    assertEquals("line 2: unknown event: nonsense 1", errorOf("mark 5\nnonsense 1\n"));
  }

  @Test
  void errorNamesAnInvalidSetting() {
    assertEquals(
        "line 2: invalid settings (siblings is not a number): start 3 1 siblings=x",
        errorOf(batch(5, "start 3 1 siblings=x")));
  }

  @Test
  void errorNamesWhatIsWrongInAnEndpointList() {
    assertEquals(
        "line 3: unknown endpoint list kind: view 3 1 9 0",
        errorOf(batch(5, START_NODE, "view 3 1 9 0")));
    assertEquals("line 4: expected 'entry': commit", errorOf(batch(5, START_NODE, "view 3 1 0 1")));
    assertEquals(
        "line 4: unknown endpoint state: entry 1 0 7 0 0 a 0",
        errorOf(batch(5, START_NODE, "view 3 1 0 1", "entry 1 0 7 0 0 a 0")));
  }
}
