import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An operator takes archive servers out by hand while an edge node is upgraded: the last call goes to the old process,
 * the next one to the new process as soon as that one's check says yes. Both calls get their yes. From then on neither
 * server may be sent anything.
 */
final class SetDownCase {
  private static final int SERVERS = 10;
  private static final int OPERATOR_CALLS = 4;

  /** When each server's ban began to bind, on the clock of the record. */
  private static final Map<String, Double> BANNED = new ConcurrentHashMap<>();

  private static final List<String> WRONG = new ArrayList<>();

  private SetDownCase() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    Discovery discovery = new Discovery(41);
    Counter counter = new Counter();
    for (int i = 0; i < SERVERS; i++) {
      ArchiveServer server = new ArchiveServer("s-" + i, SetDownCase::work);
      server.start();
      discovery.tell(server.id, server.address(), "Ready", 0);
    }
    discovery.start();
    counter.start();
    String listen = "127.0.0.1:" + Node.freePort();
    String config = new Config().text(discovery, counter);
    try (Node old = new Node("n0", listen, config, null)) {
      if (old.awaitReady()) {
        old.call("set-down s-9");
        old.call("set-up s-9");
        exit = trouble ? upgrade(old, listen, config) : play(old, old, null);
      }
    }
    System.exit(exit);
  }

  private static boolean work(ArchiveServer server, Peer.Link link, Http.Message request) throws Exception {
    Double since = BANNED.get(server.id);
    // The rule on drains allows 1 s from the yes on.
    if (since != null && Record.seconds() > since + 1.0) {
      synchronized (WRONG) {
        WRONG.add(server.id);
      }
      Record.line("%s got work %.3f s after the yes to its set-down", server.id, Record.seconds() - since);
    }
    Thread.sleep(30);
    ArchiveServer.answer(link, ArchiveServer.bodyFor(request));
    return true;
  }

  private static int upgrade(Node old, String listen, String config) throws Exception {
    try (Node successor = new Node("n0 (new)", listen, config, old.shared)) {
      Thread.sleep(700);
      successor.call("zones");
      int polls = 0;
      while (!successor.call("check").startsWith("ACK")) {
        if (++polls > 600) {
          return 2;
        }
        Thread.sleep(20);
      }
      Record.line("the new process says yes");
      return play(old, successor, old);
    }
  }

  /** Operator's calls to the first process and then to the second, which goes on; the old one is ended. */
  private static int play(Node first, Node second, Node old) throws Exception {
    Set<String> answers = new HashSet<>();
    for (int i = 0; i < OPERATOR_CALLS; i++) {
      if (old != null && i == OPERATOR_CALLS / 2) {
        old.signal("TERM");
      }
      Node called = i < OPERATOR_CALLS / 2 ? first : second;
      String answer = called.call("set-down s-" + i);
      answers.add(answer);
      if (answer.startsWith("ACK")) {
        BANNED.put("s-" + i, Record.seconds());
      }
    }
    Record.tell("answers to %d calls of set-down: %s", OPERATOR_CALLS, answers);
    double end = Record.seconds() + 12;
    double kill = Record.seconds() + 3.7;
    int served = 0;
    while (Record.seconds() < end) {
      if (old != null && Record.seconds() > kill && old.process.isAlive()) {
        old.kill();
      }
      try (Client client = new Client(second.listen)) {
        client.socket.setSoTimeout(7_000);
        client.write(Client.head(Client.newId(), "search", "editorial", 7, 6_000, 0, 2));
        Http.Message answer = client.answer();
        served += answer != null && answer.status() == 200 ? 1 : 0;
      } catch (java.io.IOException e) {
        Record.line("a client's connection broke: %s", e);
      }
      Thread.sleep(2);
    }
    for (String figure : second.call("vars").split("\n")) {
      if (figure.contains("archive_servers=")) {
        Record.tell("%s", figure);
      }
    }
    Record.tell("%d requests served; attempts at servers that were out: %d, at %s", served, WRONG.size(),
        new HashSet<>(WRONG));
    if (served < 20 || !answers.equals(Set.of("ACK"))) {
      return 2;
    }
    return WRONG.isEmpty() ? 0 : 1;
  }
}
