import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent: lists archive servers and tells changes to those that watch. */
final class Discovery extends Peer {
  private final Map<String, String> members = new LinkedHashMap<>();
  private final List<Link> watches = new ArrayList<>();
  private long revision;

  Discovery(long revision) throws IOException {
    this.revision = revision;
  }

  static String member(String id, String address, String phase, long upSinceMillis) {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + address
        + "\",\"locality\":\"guatemala-city-1\",\"flavor\":\"std-4core\",\"cell\":1,\"phase\":\"" + phase
        + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMillis + "}";
  }

  synchronized long revision() {
    return revision;
  }

  synchronized String whole() {
    return object(true, new ArrayList<>(members.values()));
  }

  private String object(boolean complete, List<String> entries) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
        + String.join(",", entries) + "]}";
  }

  /** Lists a server anew, or with another phase, and tells those that watch. */
  synchronized void tell(String id, String address, String phase, long upSinceMillis) {
    revision++;
    String entry = member(id, address, phase, upSinceMillis);
    if (phase.equals("Gone")) {
      members.remove(id);
    } else {
      members.put(id, entry);
    }
    Record.line("discovery tells revision %d: %s is %s", revision, id, phase);
    for (Link watch : List.copyOf(watches)) {
      send(watch, object(false, List.of(entry)));
    }
  }

  private void send(Link watch, String text) {
    byte[] line = (text + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
    try {
      watch.write(Integer.toHexString(line.length) + "\r\n" + text + "\n\r\n");
    } catch (IOException e) {
      watches.remove(watch);
    }
  }

  @Override
  void serve(Link link) throws Exception {
    Http.Message request = Http.read(link.in, false);
    if (request == null) {
      return;
    }
    if (!request.target().contains("watch=1")) {
      String list = whole();
      link.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      return;
    }
    synchronized (this) {
      link.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      send(link, whole());
      watches.add(link);
    }
    while (true) {
      Thread.sleep(2_000);
      synchronized (this) {
        if (!watches.contains(link)) {
          return;
        }
        send(link, "");
      }
    }
  }
}
