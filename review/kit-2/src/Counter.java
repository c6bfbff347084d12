import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** The counter: adds an amount to a name and answers with the total. Names are kept for their life. */
final class Counter extends Peer {
  private record Entry(double total, long untilNanos) {}

  private final Map<String, Entry> names = new HashMap<>();

  Counter() throws IOException {}

  @Override
  void serve(Link link) throws Exception {
    for (Http.Message call = Http.read(link.in, false); call != null; ) {
      String total = add(call.target());
      link.write("HTTP/1.1 200 OK\r\nContent-Length: " + total.length() + "\r\n\r\n" + total);
      call = Http.read(link.in, false);
    }
  }

  private synchronized String add(String target) {
    String name = target.substring("/tally/".length(), target.indexOf('?'));
    double amount = 0;
    long keepMillis = 1;
    for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
      if (part.startsWith("n=")) {
        amount = Double.parseDouble(part.substring(2));
      } else if (part.startsWith("keep_ms=")) {
        keepMillis = Math.min(60_000, Long.parseLong(part.substring(8)));
      }
    }
    long now = System.nanoTime();
    Entry old = names.get(name);
    Entry entry =
        old == null || now - old.untilNanos > 0
            ? new Entry(amount, now + keepMillis * 1_000_000)
            : new Entry(old.total + amount, old.untilNanos);
    names.put(name, entry);
    return String.valueOf(entry.total);
  }
}
