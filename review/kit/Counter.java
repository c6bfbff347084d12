import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the shared counter: named numbers with a life, answered in the order of the calls. */
final class Counter {
  private static final Pattern CALL =
      Pattern.compile("/tally/([^?]{1,64})\\?n=([^&]+)&keep_ms=(\\d+)");

  private static final class Total {
    double value;
    long endsAt;
  }

  private final Map<String, Total> totals = new HashMap<>();
  final Listener listener = new Listener(this::serve);

  Counter() throws IOException {}

  private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
    for (Http call = Http.read(in); call != null; call = Http.read(in)) {
      Matcher parts = CALL.matcher(call.target());
      if (!parts.matches()) {
        out.write(Http.response(404, ""));
        continue;
      }
      double total =
          add(parts.group(1), Double.parseDouble(parts.group(2)), Long.parseLong(parts.group(3)));
      out.write(Http.response(200, String.format("%.7g", total)));
    }
  }

  private synchronized double add(String name, double amount, long lifeMillis) {
    long now = System.currentTimeMillis();
    Total total = totals.get(name);
    if (total == null || total.endsAt <= now) {
      total = new Total();
      total.endsAt = now + Math.min(60_000, lifeMillis);
      totals.put(name, total);
    }
    total.value += amount;
    return total.value;
  }
}
