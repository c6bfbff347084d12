import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file record.txt of a case: what was sent, answered and run, with times since the start. */
final class Record {
  private static PrintWriter out;
  private static final long START = System.nanoTime();

  private Record() {}

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static synchronized void line(String format, Object... values) {
    out.printf("%9.3f ", (System.nanoTime() - START) / 1e9);
    out.println(values.length == 0 ? format : String.format(format, values));
    out.flush();
  }

  /** A line of the record that also goes to standard output. */
  static synchronized void say(String format, Object... values) {
    line(format, values);
    System.out.println(values.length == 0 ? format : String.format(format, values));
  }
}
