import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run: one line each, with the seconds since the start. */
final class Record {
  static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static synchronized void open(Path file) throws Exception {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void line(String format, Object... args) {
    String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, args);
    if (out != null) {
      out.println(text);
    }
  }

  /** A line of the record that is shown to the person who runs the script, too. */
  static void tell(String format, Object... args) {
    line(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }
}
