import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Archive servers that take 4.5 s to write a long answer of no declared length: its first 8 kB at once, then 1 kB each
 * 0.5 s, then the rest. What they still give must not be cut off.
 */
final class SlowServerCase {
  private static final int ANSWER_BYTES = 200_000;
  private static final int FIRST_BYTES = 8_000;
  private static final int PIECE_BYTES = 1_000;
  private static final int PIECES = 8;
  private static final int PAUSE_MILLIS = 500;
  private static final int CLIENT_MILLIS = 3_000;
  private static final int CLIENTS = 6;

  /** The requests whose answer a server could not write to its end. */
  private static final Set<String> BROKEN = ConcurrentHashMap.newKeySet();

  /** One request with a long answer. */
  private static final class Download {
    String id;
    int status;
    int received;
    double firstByteAfter = Double.NaN;
    double endAfter;
    boolean whole;
    String end = "nothing came";
  }

  private SlowServerCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    Discovery discovery = new Discovery(41);
    Counter counter = new Counter();
    for (int i = 0; i < 4; i++) {
      ArchiveServer server = new ArchiveServer("s-" + i, (self, link, request) -> work(self, link, request, trouble));
      server.start();
      discovery.tell(server.id, server.address(), "Ready", 0);
    }
    discovery.start();
    counter.start();
    try (Node node = new Node("n0", "127.0.0.1:" + Node.freePort(), new Config().text(discovery, counter), null)) {
      if (node.awaitReady()) {
        exit = play(node);
      }
    }
    System.exit(exit);
  }

  private static boolean work(ArchiveServer server, Peer.Link link, Http.Message request, boolean slowly)
      throws Exception {
    String id = request.header("x-trace-id");
    Thread.sleep(150);
    try {
      link.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      chunk(link, FIRST_BYTES);
      int written = FIRST_BYTES;
      for (int i = 0; i < PIECES; i++) {
        if (slowly) {
          Thread.sleep(PAUSE_MILLIS);
        }
        chunk(link, PIECE_BYTES);
        written += PIECE_BYTES;
        Record.line("%s has written %d bytes to %s", server.id, written, id);
      }
      if (slowly) {
        Thread.sleep(PAUSE_MILLIS);
      }
      chunk(link, ANSWER_BYTES - written);
      link.write("0\r\n\r\n");
      Record.line("%s has written the whole answer to %s", server.id, id);
    } catch (IOException e) {
      BROKEN.add(id);
      Record.line("%s could not write the rest of its answer to %s: %s", server.id, id, e.getMessage());
      return false;
    }
    return true;
  }

  private static void chunk(Peer.Link link, int bytes) throws IOException {
    byte[] content = new byte[bytes];
    Arrays.fill(content, (byte) '.');
    link.write(Integer.toHexString(bytes) + "\r\n");
    link.write(content);
    link.write("\r\n");
  }

  private static int play(Node node) throws Exception {
    List<Download> downloads = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Download download = new Download();
      downloads.add(download);
      threads.add(Peer.thread(() -> download(node, download)));
      Thread.sleep(100);
    }
    for (Thread thread : threads) {
      thread.join(15_000);
    }
    Thread.sleep(1_500);
    int begun = 0;
    int cut = 0;
    for (Download download : downloads) {
      boolean inTime = download.status == 200 && download.firstByteAfter < CLIENT_MILLIS / 1_000.0;
      begun += inTime ? 1 : 0;
      cut += inTime && !download.whole ? 1 : 0;
      Record.tell("%s: status %d, first byte after %.2f s, end after %.2f s with %d of %d bytes: %s; at the server: %s",
          download.id, download.status, download.firstByteAfter, download.endAfter, download.received, ANSWER_BYTES,
          download.end, BROKEN.contains(download.id) ? "ended by the edge node" : "written to the end");
    }
    Record.tell("%d answers were begun in their client's time, %d of them cut off", begun, cut);
    if (begun == 0) {
      return 2;
    }
    return cut > 0 ? 1 : 0;
  }

  private static void download(Node node, Download download) throws Exception {
    download.id = Client.newId();
    double sent = Record.seconds();
    try (Client client = new Client(node.listen)) {
      client.socket.setSoTimeout(12_000);
      client.write(Client.head(download.id, "search", "editorial", 7, CLIENT_MILLIS, 0, 2));
      Record.line("client sends %s", download.id);
      StringBuilder line = new StringBuilder();
      int state = 0;
      int left = 0;
      while (true) {
        int next = client.in.read();
        if (next < 0) {
          download.end = "the connection ended";
          break;
        }
        if (Double.isNaN(download.firstByteAfter)) {
          download.firstByteAfter = Record.seconds() - sent;
          Record.line("client gets the first byte for %s", download.id);
        }
        if (state == 2 && left > 0) {
          left--;
          download.received++;
          continue;
        }
        line.append((char) next);
        if (next != '\n') {
          continue;
        }
        String text = line.toString().trim();
        line.setLength(0);
        if (state == 0 && text.startsWith("HTTP/")) {
          download.status = Integer.parseInt(text.substring(9, 12));
          state = 1;
          if (download.status != 200) {
            download.end = "not served";
            break;
          }
        } else if (state == 1 && text.isEmpty()) {
          state = 2;
        } else if (state == 2 && !text.isEmpty()) {
          left = Integer.parseInt(text.split(";")[0], 16);
          if (left == 0) {
            download.whole = download.received == ANSWER_BYTES;
            download.end = download.whole ? "whole" : "too short";
            break;
          }
        }
      }
    } catch (IOException e) {
      download.end = "broken: " + e.getMessage();
    }
    download.endAfter = Record.seconds() - sent;
    Record.line("%s: %s after %d bytes", download.id, download.end, download.received);
  }
}
