package edgegateway.node.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Lines of libraries come by the node's log, which needs no file to write one. */
class LibraryLogHandlerTest {
  private final ByteArrayOutputStream infos = new ByteArrayOutputStream();
  private final ByteArrayOutputStream problems = new ByteArrayOutputStream();
  private final LibraryLogHandler handler =
      new LibraryLogHandler(new EventLog(new PrintStream(infos), new PrintStream(problems)));

  private static LogRecord record(Level level, Throwable thrown) {
    LogRecord record = new LogRecord(level, "Unexpected exception");
    record.setLoggerName("io.netty");
    record.setThrown(thrown);
    return record;
  }

  @Test
  void aWarningIsOneLineWithItsCauses() {
    Throwable cause = new IOException("Too many open files");
    Throwable thrown = new NoClassDefFoundError("some/Type");
    thrown.initCause(cause);
    cause.setStackTrace(new StackTraceElement[0]);
    thrown.setStackTrace(new StackTraceElement[0]);
    handler.publish(record(Level.WARNING, thrown));
    assertEquals(
        "library_message logger=io.netty message=\"Unexpected exception\""
            + " error=\"java.lang.NoClassDefFoundError: some/Type\""
            + " cause=\"java.io.IOException: Too many open files\"\n",
        problems.toString(StandardCharsets.UTF_8));
    assertEquals("", infos.toString(StandardCharsets.UTF_8));
  }

  @Test
  void whatIsBelowInfoIsLeftOut() {
    handler.publish(record(Level.FINE, null));
    handler.publish(record(Level.INFO, null));
    assertEquals(
        "library_message logger=io.netty message=\"Unexpected exception\"\n",
        infos.toString(StandardCharsets.UTF_8));
    assertEquals("", problems.toString(StandardCharsets.UTF_8));
  }
}
