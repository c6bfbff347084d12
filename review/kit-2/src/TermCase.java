import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart while half of the archive servers hang and clients send long bodies at 64 kB a second. Every
 * request that arrives later than 0.7 s after SIGTERM has to be answered before SIGKILL, which comes 3.7 s after it.
 */
final class TermCase {
  private static final int BYTES_PER_SECOND = 64_000;
  private static final int STEP_MILLIS = 50;
  private static final double ARRIVAL_SECONDS = 0.7;
  private static final double KILL_SECONDS = 3.7;

  /** One upload: when its last byte was written, and what came back. */
  private static final class Upload {
    String id;
    int bytes;
    double writtenAt = Double.NaN;
    double answeredAt = Double.NaN;
    String end = "nothing";
  }

  private static volatile boolean hanging;

  private TermCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    Discovery discovery = new Discovery(41);
    Counter counter = new Counter();
    List<ArchiveServer> servers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      boolean sick = i < 2;
      ArchiveServer server = new ArchiveServer("s-" + i, (self, link, request) -> work(link, request, sick));
      server.start();
      servers.add(server);
      discovery.tell(server.id, server.address(), "Ready", 0);
    }
    discovery.start();
    counter.start();
    Config config = new Config();
    try (Node node = new Node("n0", "127.0.0.1:" + Node.freePort(), config.text(discovery, counter), null)) {
      if (node.awaitReady()) {
        exit = play(node, trouble);
      }
    }
    System.exit(exit);
  }

  private static boolean work(Peer.Link link, Http.Message request, boolean sick) throws Exception {
    if (sick && hanging) {
      Record.line("hangs over %s", request.header("x-trace-id"));
      while (link.isOpen()) {
        Thread.sleep(20);
      }
      return false;
    }
    Thread.sleep(230);
    ArchiveServer.answer(link, ArchiveServer.bodyFor(request));
    return true;
  }

  private static int play(Node node, boolean trouble) throws Exception {
    // A few requests before, as any edge node in service has had them.
    for (int i = 0; i < 12; i++) {
      Upload before = new Upload();
      upload(node, before, 2_000);
    }
    double begin = Record.seconds();
    List<Upload> uploads = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      Upload upload = new Upload();
      uploads.add(upload);
      int bytes = 128_000 + 6_000 * i;
      threads.add(Peer.thread(() -> upload(node, upload, bytes)));
      Thread.sleep(20);
    }
    double term = Record.seconds();
    if (trouble) {
      hanging = true;
      node.signal("TERM");
      term = Record.seconds();
    }
    Thread.sleep(Math.max(0, (long) ((term + KILL_SECONDS - Record.seconds()) * 1_000)));
    double kill = Record.seconds();
    boolean running = trouble && node.kill();
    for (Thread thread : threads) {
      thread.join(trouble ? 1_000 : 8_000);
    }
    int arrived = 0;
    int lost = 0;
    for (Upload upload : uploads) {
      boolean late = !trouble || upload.writtenAt > term + ARRIVAL_SECONDS && upload.writtenAt < kill;
      boolean answered = !Double.isNaN(upload.answeredAt);
      arrived += late ? 1 : 0;
      lost += late && !answered ? 1 : 0;
      Record.line("%s of %d bytes: last byte at %.3f s after SIGTERM, %s%s", upload.id, upload.bytes,
          upload.writtenAt - term, upload.end, late && !answered ? ": LOST" : "");
    }
    Record.tell("uploads begun %.2f s before, SIGTERM to SIGKILL %.2f s, still running then: %s", term - begin,
        kill - term, running);
    Record.tell("%d requests arrived later than 0.7 s after SIGTERM, %d of them were not answered", arrived, lost);
    if (arrived == 0) {
      return 2;
    }
    return lost > 0 ? 1 : 0;
  }

  private static void upload(Node node, Upload upload, int bytes) throws Exception {
    upload.id = Client.newId();
    upload.bytes = bytes;
    try (Client client = new Client(node.listen)) {
      client.socket.setSoTimeout(7_000);
      client.write(Client.head(upload.id, "license", "editorial", 7, 6_000, bytes, 2));
      Record.line("client sends the head of %s, %d bytes of body follow", upload.id, bytes);
      int step = BYTES_PER_SECOND * STEP_MILLIS / 1_000;
      long next = System.nanoTime();
      for (int sent = 0; sent < bytes; sent += step) {
        client.write(new byte[Math.min(step, bytes - sent)]);
        next += STEP_MILLIS * 1_000_000L;
        if (sent + step < bytes) {
          Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
      }
      upload.writtenAt = Record.seconds();
      Record.line("client has written the last byte of %s", upload.id);
      Http.Message answer = client.answer();
      if (answer == null) {
        upload.end = "the connection ended";
      } else {
        upload.answeredAt = Record.seconds();
        upload.end = "answered " + answer.status() + " after " + Math.round((upload.answeredAt - upload.writtenAt) * 1_000) + " ms";
      }
    } catch (IOException e) {
      upload.end = "no answer: " + e;
    }
    Record.line("%s: %s", upload.id, upload.end);
  }
}
