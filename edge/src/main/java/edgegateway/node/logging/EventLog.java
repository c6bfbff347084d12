package edgegateway.node.logging;

import java.io.PrintStream;

/**
 * Writes the node's log: one line per event, as {@code event key=value key=value}. Events of level
 * INFO go to one stream, warnings and errors to another. Thread-safe.
 *
 * <p>The events that on-call staff act on are listed in {@code docs/operating.md}.
 */
public final class EventLog {
  /** How urgent an event is. */
  public enum Level {
    /** Expected in normal operation. */
    INFO,
    /** Something failed, and the node continues to serve without it. */
    WARN,
    /** Something failed, and a person has to intervene. */
    ERROR
  }

  /** One {@code key=value} pair of a line. */
  public record Field(String key, Object value) {}

  private static final EventLog CONSOLE = new EventLog(System.out, System.err);

  static {
    // Loads all classes that a line needs: a line may report that no file descriptor is left, and
    // then no class file can be opened any more.
    CONSOLE.streamOf(Level.INFO);
    format("loaded", field("by", new IllegalStateException("start")));
  }

  private final PrintStream infoStream;
  private final PrintStream problemStream;

  /** Writes to the given streams; this class closes neither of them. */
  public EventLog(PrintStream infoStream, PrintStream problemStream) {
    this.infoStream = infoStream;
    this.problemStream = problemStream;
  }

  /** The log that writes to standard output (INFO) and standard error (WARN, ERROR). */
  public static EventLog console() {
    return CONSOLE;
  }

  /** Creates a field for {@link #info}, {@link #warn} and {@link #error}. */
  public static Field field(String key, Object value) {
    return new Field(key, value);
  }

  /** Logs an expected event. */
  public void info(String event, Field... fields) {
    write(Level.INFO, event, fields);
  }

  /** Logs a failure despite which the node continues to serve. */
  public void warn(String event, Field... fields) {
    write(Level.WARN, event, fields);
  }

  /** Logs a failure for which a person has to intervene. */
  public void error(String event, Field... fields) {
    write(Level.ERROR, event, fields);
  }

  /**
   * Logs an event. A value that is empty or has white space or double quotes is put in double
   * quotes; line breaks in it become spaces and double quotes become single ones.
   */
  public void write(Level level, String event, Field... fields) {
    streamOf(level).println(format(event, fields));
  }

  private PrintStream streamOf(Level level) {
    return level == Level.INFO ? infoStream : problemStream;
  }

  private static String format(String event, Field... fields) {
    StringBuilder line = new StringBuilder(event);
    for (Field field : fields) {
      line.append(' ').append(field.key()).append('=');
      appendValue(line, field.value());
    }
    return line.toString();
  }

  private static void appendValue(StringBuilder line, Object value) {
    String text = value instanceof Throwable error ? describe(error) : String.valueOf(value);
    if (needsQuotes(text)) {
      line.append('"').append(text.replace('"', '\'').replace('\n', ' ')).append('"');
    } else {
      line.append(text);
    }
  }

  private static boolean needsQuotes(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (Character.isWhitespace(text.charAt(i)) || text.charAt(i) == '"') {
        return true;
      }
    }
    return text.isEmpty();
  }

  /** The exception with its top stack frame, so that its origin can be found from a single line. */
  private static String describe(Throwable error) {
    StackTraceElement[] stack = error.getStackTrace();
    return stack.length == 0 ? error.toString() : error + " at " + stack[0];
  }
}
