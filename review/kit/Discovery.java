import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Stand-in for the agent of discovery: answers the whole list, and watches with the whole list, the
 * changes and an empty line every 2 s. While it is down it says nothing.
 */
final class Discovery {
  private final Map<String, String> members = new LinkedHashMap<>();
  private final Map<Long, String> changes = new LinkedHashMap<>();
  private long revision = 1;
  volatile boolean down;
  final Listener listener = new Listener(this::serve);

  Discovery() throws IOException {}

  static String member(String id, String address, String zone, int cell, String phase, long up) {
    return String.format(
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"%s\",\"flavor\":\"std-4core\","
            + "\"cell\":%d,\"phase\":\"%s\",\"size\":1.0,\"up_since_ms\":%d}",
        id, address, zone, cell, phase, up);
  }

  /** Lists an archive server, or changes its entry. */
  synchronized void put(String id, String address, String zone, int cell, String phase, long up) {
    String entry = member(id, address, zone, cell, phase, up);
    members.put(id, entry);
    change(entry);
  }

  void put(String id, String address) {
    put(id, address, "a", 1, "Ready", 0);
  }

  synchronized void remove(String id) {
    String entry = members.remove(id).replaceAll("\"phase\":\"[A-Za-z]*\"", "\"phase\":\"Gone\"");
    change(entry);
  }

  private void change(String entry) {
    revision++;
    changes.put(revision, entry);
    notifyAll();
  }

  synchronized String list() {
    return "{\"revision\":" + revision + ",\"complete\":true,\"members\":["
        + String.join(",", members.values()) + "]}";
  }

  private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
    for (Http request = Http.read(in); request != null; request = Http.read(in)) {
      while (down) {
        Thread.sleep(20);
      }
      if (request.target().contains("watch=1")) {
        watch(out);
        return;
      }
      out.write(Http.response(200, list()));
    }
  }

  private void watch(OutputStream out) throws Exception {
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
    long told;
    String first;
    synchronized (this) {
      told = revision;
      first = list();
    }
    chunk(out, first + "\n");
    while (true) {
      StringBuilder next = new StringBuilder();
      synchronized (this) {
        if (revision == told) {
          wait(2_000);
        }
        while (told < revision) {
          told++;
          next.append("{\"revision\":").append(told).append(",\"complete\":false,\"members\":[")
              .append(changes.get(told)).append("]}\n");
        }
      }
      while (down) {
        Thread.sleep(20);
      }
      chunk(out, next.length() == 0 ? "\n" : next.toString());
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    String head = Integer.toHexString(bytes.length) + "\r\n";
    byte[] all = new byte[head.length() + bytes.length + 2];
    System.arraycopy(head.getBytes(), 0, all, 0, head.length());
    System.arraycopy(bytes, 0, all, head.length(), bytes.length);
    all[all.length - 2] = '\r';
    all[all.length - 1] = '\n';
    out.write(all);
    out.flush();
  }
}
