import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Clients that read a long answer steadily, at 64 kB a second. The archive server has the whole answer ready and writes
 * it as fast as it is taken. What it still gives must not be cut off.
 */
final class SlowReaderCase {
  private static final int ANSWER_BYTES = 5_500_000;
  private static final int BYTES_PER_SECOND = 64_000;
  private static final int STEP_MILLIS = 100;

  /** One download. */
  private static final class Download {
    String id;
    long received;
    int status;
    double longestPause;
    boolean whole;
    String end = "nothing came";
  }

  private SlowReaderCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    Discovery discovery = new Discovery(41);
    Counter counter = new Counter();
    for (int i = 0; i < 3; i++) {
      ArchiveServer server = new ArchiveServer("s-" + i, SlowReaderCase::work);
      server.start();
      discovery.tell(server.id, server.address(), "Ready", 0);
    }
    discovery.start();
    counter.start();
    try (Node node =
        new Node("n0", "127.0.0.1:" + Node.freePort(), new Config().text(discovery, counter), null)) {
      if (node.awaitReady()) {
        exit = play(node, trouble);
      }
    }
    System.exit(exit);
  }

  private static boolean work(ArchiveServer server, Peer.Link link, Http.Message request) throws Exception {
    Thread.sleep(100);
    byte[] body = new byte[ANSWER_BYTES];
    Arrays.fill(body, (byte) '.');
    byte[] first = ArchiveServer.bodyFor(request).getBytes();
    System.arraycopy(first, 0, body, 0, first.length);
    link.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
    try {
      for (int sent = 0; sent < body.length; sent += 16_384) {
        link.write(Arrays.copyOfRange(body, sent, Math.min(body.length, sent + 16_384)));
      }
      Record.line("%s has written the whole answer to %s", server.id, request.header("x-trace-id"));
    } catch (IOException e) {
      Record.line("%s could not write the rest of its answer to %s: %s", server.id,
          request.header("x-trace-id"), e.getMessage());
      return false;
    }
    return true;
  }

  private static int play(Node node, boolean trouble) throws Exception {
    List<Download> downloads = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Download download = new Download();
      downloads.add(download);
      threads.add(Peer.thread(() -> download(node, download, trouble)));
      Thread.sleep(100);
    }
    Peer.thread(() -> follow(node));
    for (Thread thread : threads) {
      thread.join(105_000);
    }
    int begun = 0;
    int cut = 0;
    for (Download download : downloads) {
      boolean served = download.status == 200;
      begun += served ? 1 : 0;
      cut += served && !download.whole ? 1 : 0;
      Record.tell("%s: status %d, %d of %d bytes, longest wait for a byte %.2f s: %s", download.id, download.status,
          download.received, ANSWER_BYTES, download.longestPause, download.end);
    }
    Record.tell("%d answers were begun, %d of them cut off", begun, cut);
    if (begun == 0) {
      return 2;
    }
    return cut > 0 ? 1 : 0;
  }

  /** Writes to the record when the edge node's own figures no longer count the answers; the check does not use it. */
  private static void follow(Node node) throws Exception {
    String last = "";
    while (node.process.isAlive()) {
      for (String figure : node.call("vars").split("\n")) {
        if (figure.contains("in_progress=") && !figure.equals(last)) {
          last = figure;
          Record.line("figures: %s", figure);
        }
      }
      Thread.sleep(500);
    }
  }

  private static void download(Node node, Download download, boolean slowly) throws Exception {
    download.id = Client.newId();
    try (Client client = new Client(node.listen)) {
      client.socket.setSoTimeout(20_000);
      client.write(Client.head(download.id, "search", "editorial", 7, 6_000, 0, 2));
      Record.line("client sends %s", download.id);
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = client.in.read();
        if (next < 0) {
          download.end = "the connection ended";
          return;
        }
        head.append((char) next);
      }
      download.status = Integer.parseInt(head.substring(9, 12));
      Record.line("client gets the head of the answer to %s: %d", download.id, download.status);
      byte[] buffer = new byte[BYTES_PER_SECOND * STEP_MILLIS / 1_000];
      long due = System.nanoTime();
      while (download.received < ANSWER_BYTES) {
        double before = Record.seconds();
        int read = client.in.read(buffer, 0, (int) Math.min(buffer.length, ANSWER_BYTES - download.received));
        download.longestPause = Math.max(download.longestPause, Record.seconds() - before);
        if (read < 0) {
          download.end = "the connection ended";
          return;
        }
        if (download.received / 640_000 != (download.received + read) / 640_000) {
          Record.line("client has read %d bytes of %s", download.received + read, download.id);
        }
        download.received += read;
        if (slowly) {
          due += read * 1_000_000_000L / BYTES_PER_SECOND;
          Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
        }
      }
      download.whole = true;
      download.end = "whole";
    } catch (IOException e) {
      download.end = "broken: " + e.getMessage();
    }
    Record.line("%s: %s", download.id, download.end);
  }
}
