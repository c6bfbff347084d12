package edgegateway.node.logging;

import java.io.PrintStream;

/**
 * Writes the node's log: one line for each event, as {@code event key=value key=value}. Information
 * goes to standard output, warnings and errors go to standard error. Safe for any thread.
 *
 * <p>The events on-call staff act on are listed in {@code docs/operating.md}.
 */
public final class EventLog {
  /** How urgent an event is. */
  public enum Level {
    /** Expected in normal operation. */
    INFO,
    /** Something failed and was worked around; service goes on. */
    WARN,
    /** Something failed and a person has to look. */
    ERROR
  }

  /** One {@code key=value} pair of a line. */
  public record Field(String key, Object value) {}

  private static final EventLog CONSOLE = new EventLog(System.out, System.err);

  static {
    // What is logged may be that no descriptor is left, and then no class file can be opened: all
    // that a line needs is loaded with this class.
    CONSOLE.streamOf(Level.INFO);
    format("loaded", field("by", new IllegalStateException("start")));
  }

  private final PrintStream information;
  private final PrintStream problems;

  /** Writes to the given streams; neither is closed by this class. */
  public EventLog(PrintStream information, PrintStream problems) {
    this.information = information;
    this.problems = problems;
  }

  /** The log on the process's standard streams. */
  public static EventLog console() {
    return CONSOLE;
  }

  /** A field for {@link #info}, {@link #warn} and {@link #error}. */
  public static Field field(String key, Object value) {
    return new Field(key, value);
  }

  /** Logs an expected event. */
  public void info(String event, Field... fields) {
    write(Level.INFO, event, fields);
  }

  /** Logs a failure that was worked around. */
  public void warn(String event, Field... fields) {
    write(Level.WARN, event, fields);
  }

  /** Logs a failure that needs a person. */
  public void error(String event, Field... fields) {
    write(Level.ERROR, event, fields);
  }

  /** Logs an event at a level; a value with white space is quoted. */
  public void write(Level level, String event, Field... fields) {
    streamOf(level).println(format(event, fields));
  }

  private PrintStream streamOf(Level level) {
    return level == Level.INFO ? information : problems;
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

  /** The error and the first place of its stack: enough to find it, on one line. */
  private static String describe(Throwable error) {
    StackTraceElement[] stack = error.getStackTrace();
    return stack.length == 0 ? error.toString() : error + " at " + stack[0];
  }
}
