package edgegateway.node.logging;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what libraries log to an {@link EventLog}. The JDK's own formatter loads the data of time
 * zones with its first record. That fails while no file descriptor is left, which is when Netty has
 * something to log, and the error ended the event loop.
 */
public final class LibraryLogHandler extends Handler {
  private final EventLog log;

  /** Creates a handler that writes to the given log. */
  public LibraryLogHandler(EventLog log) {
    this.log = log;
  }

  /** Replaces the JDK's handlers by one that writes to the given log. */
  public static void install(EventLog log) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(new LibraryLogHandler(log));
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record) || record.getLevel().intValue() < Level.INFO.intValue()) {
      return;
    }
    List<Field> fields = new ArrayList<>();
    fields.add(field("logger", record.getLoggerName()));
    fields.add(field("message", record.getMessage()));
    for (Throwable error = record.getThrown(); error != null; error = error.getCause()) {
      fields.add(field(error == record.getThrown() ? "error" : "cause", error));
    }
    log.write(levelOf(record), "library_message", fields.toArray(Field[]::new));
  }

  private static EventLog.Level levelOf(LogRecord record) {
    return record.getLevel().intValue() >= Level.WARNING.intValue()
        ? EventLog.Level.WARN
        : EventLog.Level.INFO;
  }

  @Override
  public void flush() {
    // The streams of an EventLog flush each line.
  }

  @Override
  public void close() {
    // An EventLog closes none of its streams.
  }
}
