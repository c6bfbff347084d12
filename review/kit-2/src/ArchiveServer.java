import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** An archive server. What it does with a request whose last byte has arrived is up to its work. */
final class ArchiveServer extends Peer {
  /** Handles one attempt; returns false to end the connection. */
  interface Work {
    boolean run(ArchiveServer server, Link link, Http.Message request) throws Exception;
  }

  final String id;
  final AtomicInteger attempts = new AtomicInteger();
  private final Work work;

  ArchiveServer(String id, Work work) throws IOException {
    this.id = id;
    this.work = work;
  }

  @Override
  void serve(Link link) throws Exception {
    for (Http.Message request = Http.read(link.in, false); request != null; ) {
      attempts.incrementAndGet();
      Record.line("%s: attempt of %s, %d bytes of body", id, request.header("x-trace-id"), request.body.length);
      if (!work.run(this, link, request)) {
        return;
      }
      request = Http.read(link.in, false);
    }
  }

  static void answer(Link link, String body) throws IOException {
    link.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** What a sound server answers: it names the request that it was made for. */
  static String bodyFor(Http.Message request) {
    return "made for " + request.header("x-trace-id");
  }
}
