package edgegateway.node.logging;

import static edgegateway.node.logging.EventLog.field;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventLogTest {
  private final ByteArrayOutputStream infoStream = new ByteArrayOutputStream();
  private final ByteArrayOutputStream problemStream = new ByteArrayOutputStream();
  private final EventLog log = new EventLog(stream(infoStream), stream(problemStream));

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.UTF_8).strip();
  }

  @Test
  void writesEventAndFieldsOnSingleLine() {
    log.info("serving", field("address", "127.0.0.1:80"), field("attempt", 2));
    assertEquals("serving address=127.0.0.1:80 attempt=2", text(infoStream));
    assertEquals("", text(problemStream));
  }

  @Test
  void quotesEmptyValuesAndValuesWithWhiteSpaceOnSingleLine() {
    log.info("rejected", field("reason", "a \"key\"\nis missing"), field("empty", ""));
    assertEquals("rejected reason=\"a 'key' is missing\" empty=\"\"", text(infoStream));
  }

  @Test
  void writesWarningsAndErrorsToProblemStream() {
    log.warn("slow");
    log.error("broken");
    assertEquals("", text(infoStream));
    assertEquals("slow\nbroken", text(problemStream));
  }

  @Test
  void writesThrowableWithTopStackFrame() {
    log.warn("failed", field("error", new IOException("gone")));
    assertTrue(
        text(problemStream)
            .startsWith("failed error=\"java.io.IOException: gone at edgegateway.node"),
        text(problemStream));
  }
}
