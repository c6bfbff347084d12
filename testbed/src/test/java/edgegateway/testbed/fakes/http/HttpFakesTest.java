package edgegateway.testbed.fakes.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.DiscoveryMember;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.fakes.FakeCounterSettings;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The stand-ins as an edge node meets them: on sockets. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpFakesTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<AutoCloseable> open = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable one : open) {
      one.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** A connection that writes requests and reads answers as they come. */
  private final class Client {
    private final Socket socket;
    private final BufferedReader in;

    Client(HttpFake to) throws IOException {
      this(to.address());
    }

    Client(InetSocketAddress to) throws IOException {
      socket = new Socket(to.getAddress(), to.getPort());
      open.add(socket);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    Client send(String line, String... headers) throws IOException {
      String text =
          line
              + " HTTP/1.1\r\nHost: x\r\n"
              + String.join("\r\n", headers)
              + (headers.length > 0 ? "\r\n" : "")
              + "Content-Length: 0\r\n\r\n";
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      return this;
    }

    /** The next answer's status, its headers but the length, and its body. */
    String answer() throws IOException {
      String text = in.readLine().split(" ")[1];
      int length = 0;
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        if (line.toLowerCase().startsWith("content-length: ")) {
          length = Integer.parseInt(line.substring(16));
        } else {
          text += " " + line;
        }
      }
      char[] body = new char[length];
      for (int had = 0; had < length; ) {
        had += in.read(body, had, length - had);
      }
      return (text + " " + new String(body)).trim();
    }

    /** The text of the next chunk. */
    String chunk() throws IOException {
      int length = Integer.parseInt(in.readLine(), 16);
      char[] body = new char[length + 2];
      for (int had = 0; had < body.length; ) {
        had += in.read(body, had, body.length - had);
      }
      return new String(body, 0, length);
    }
  }

  @Test
  void anArchiveServerServesTurnsAwayAndTellsItsHistory() throws Exception {
    List<String> history = new CopyOnWriteArrayList<>();
    ArchiveServerHttpFake server =
        new ArchiveServerHttpFake(
            group.next(),
            ANY,
            new FakeArchiveServerSettings(1, 1, 0, 1, 0, 2.5, SECOND, 6 * SECOND),
            0,
            id -> id.equals("long") ? 600 * SECOND : MS,
            new ArchiveServerHttpFake.History() {
              @Override
              public void arrived(long at, String id, String key) {
                history.add(id + " " + key);
              }

              @Override
              public void ended(long at, String id, FakeArchiveServer.Completion how) {
                history.add(id + " " + how);
              }
            });
    open.add(server);
    Client client = new Client(server);
    assertEquals(
        "200 t-1", client.send("POST /api?x=1", "X-Trace-Id: t-1", "Idempotency-Key: k").answer());
    assertEquals(
        "200 t-2", client.send("POST /api?x=1", "X-Trace-Id: t-2", "Idempotency-Key: k").answer());
    assertEquals("404", client.send("GET /ping").answer());
    new Client(server).send("GET /api", "X-Trace-Id: long");
    while (!history.contains("long null")) {
      assertTrue(history.size() < 6);
    }
    assertEquals("503 X-Never-Ran: 1", client.send("GET /api", "X-Trace-Id: t-3").answer());
    assertEquals(
        List.of(
            "t-1 k",
            "t-1 SERVED",
            "t-2 k",
            "t-2 DEDUPLICATED",
            "long null",
            "t-3 null",
            "t-3 REJECTED"),
        history);
    server.close();
    assertThrows(IOException.class, () -> client.in.read(), "its connections were not reset");
    assertThrows(IOException.class, () -> new Client(server));
  }

  /** A connection's answers come in the order of its calls, whichever part has them. */
  @Test
  void theCounterAnswersInOrderAndRefusesWhatIsNoCall() throws Exception {
    CounterHttpFake counter =
        new CounterHttpFake(group.next(), ANY, new FakeCounterSettings(2, MS, 99));
    open.add(counter);
    Client client = new Client(counter);
    for (int i = 0; i < 3; i++) {
      client.send("POST /tally/a?n=2.5&keep_ms=60000");
    }
    client.send("POST /tally/b?n=-1&keep_ms=60000").send("GET /tally/a?n=1&keep_ms=1");
    assertEquals(
        List.of("200 2.5", "200 5", "200 7.5", "200 -1"),
        List.of(client.answer(), client.answer(), client.answer(), client.answer()));
    assertEquals("400", client.answer());
    for (String call :
        List.of(
            "/tally/?n=1&keep_ms=1",
            "/tally/a?n=x&keep_ms=1",
            "/tally/a?keep_ms=1",
            "/tally/a?n=1&keep_ms=0",
            "/tally/a?n=2e9&keep_ms=1",
            "/else?n=1&keep_ms=1",
            "/tally/" + "a".repeat(65) + "?n=1&keep_ms=1")) {
      assertEquals("400", client.send("POST " + call).answer(), call);
    }
    assertEquals(
        "200 10000010",
        client.send("POST /tally/a?n=10000004&keep_ms=1").answer(),
        "not exact to seven digits");
    double[] held = new double[1];
    counter.on(core -> held[0] = core.total(System.nanoTime(), "a"));
    assertEquals(10_000_011.5, held[0]);
    CounterHttpFake busy =
        new CounterHttpFake(group.next(), ANY, new FakeCounterSettings(1, 600 * SECOND, 1));
    open.add(busy);
    new Client(busy).send("POST /tally/a?n=1&keep_ms=1");
    boolean[] waits = new boolean[1];
    while (!waits[0]) {
      busy.on(core -> waits[0] = core.nextEventNanos() != Long.MAX_VALUE);
    }
    assertEquals("503", new Client(busy).send("POST /tally/a?n=1&keep_ms=1").answer());
  }

  @Test
  void discoveryTellsItsListAndWhatChanges() throws Exception {
    DiscoveryMember one =
        new DiscoveryMember(
            "s-1", "127.0.0.1:81", "a", "m2", 3, DiscoveryMember.Phase.READY, 1.5, 0);
    DiscoveryHttpFake discovery =
        new DiscoveryHttpFake(
            group.next(), ANY, new DiscoveryMessage(7, true, List.of(one)), (at, roll) -> {});
    open.add(discovery);
    String entry =
        "{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:81\",\"locality\":\"a\",\"flavor\":\"m2\",\"cell\":3,\"phase\":\"";
    Client client = new Client(discovery);
    assertEquals(
        "200 {\"revision\":7,\"complete\":true,\"members\":["
            + entry
            + "Ready\",\"size\":1.5,\"up_since_ms\":0}]}",
        client.send("GET /catalog/members").answer());
    assertEquals("404", client.send("GET /else").answer());
    client.send("GET /catalog/members?watch=1&after=7");
    assertEquals("200 transfer-encoding: chunked", client.answer());
    assertEquals("\n", client.chunk());
    discovery.silent(true);
    discovery.send(
        new DiscoveryMessage(
            8,
            false,
            List.of(
                new DiscoveryMember(
                    "s-1",
                    "127.0.0.1:81",
                    "a",
                    "m2",
                    3,
                    DiscoveryMember.Phase.TERMINATING,
                    1.5,
                    9))),
        MS);
    discovery.silent(false);
    assertEquals(
        "{\"revision\":8,\"complete\":false,\"members\":["
            + entry
            + "Terminating\",\"size\":1.5,\"up_since_ms\":9}]}\n",
        client.chunk());
    assertEquals("\n", client.chunk(), "no empty line after 2 s");
  }

  @Test
  void discoveryThatBeginsAnewResetsItsWatchesAndTellsTheWholeList() throws Exception {
    DiscoveryMember one =
        new DiscoveryMember(
            "s-1", "127.0.0.1:81", "a", "m2", 3, DiscoveryMember.Phase.READY, 1.5, 0);
    DiscoveryHttpFake discovery =
        new DiscoveryHttpFake(
            group.next(), ANY, new DiscoveryMessage(7, true, List.of(one)), (at, roll) -> {});
    open.add(discovery);
    Client before = new Client(discovery).send("GET /catalog/members?watch=1&after=7");
    before.answer();
    assertEquals("\n", before.chunk());
    discovery.restart(new DiscoveryMessage(9, true, List.of(one)));
    assertThrows(IOException.class, () -> before.in.read(), "its watches were not reset");
    for (int after : new int[] {7, 8}) {
      Client again = new Client(discovery).send("GET /catalog/members?watch=1&after=" + after);
      again.answer();
      assertTrue(again.chunk().startsWith("{\"revision\":9,\"complete\":true,"));
    }
  }

  /** Behind one socket each address is a server of its own, with slots of its own. */
  @Test
  void eachAddressIsAnArchiveServer() throws Exception {
    List<String> history = new CopyOnWriteArrayList<>();
    ManyArchiveServersHttpFake servers =
        new ManyArchiveServersHttpFake(
            group.next(),
            new FakeArchiveServerSettings(1, 1, 0, 1, 0, 2.5, SECOND, 6 * SECOND),
            id -> id.startsWith("long") ? 600 * SECOND : MS,
            new ArchiveServerHttpFake.History() {
              @Override
              public void arrived(long at, String id, String key) {
                history.add(id);
              }

              @Override
              public void ended(long at, String id, FakeArchiveServer.Completion how) {
                history.add(id + " " + how);
              }
            });
    open.add(servers);
    Client full = new Client(new InetSocketAddress("127.1.2.3", servers.address().getPort()));
    full.send("GET /api", "X-Trace-Id: long");
    while (!history.contains("long")) {
      assertTrue(history.size() < 2);
    }
    assertEquals(
        "503 X-Never-Ran: 1",
        new Client(new InetSocketAddress("127.1.2.3", servers.address().getPort()))
            .send("GET /api", "X-Trace-Id: t-1")
            .answer());
    assertEquals(
        "200 t-2",
        new Client(new InetSocketAddress("127.1.2.4", servers.address().getPort()))
            .send("GET /api", "X-Trace-Id: t-2")
            .answer());
    assertEquals(List.of("long", "t-1", "t-1 REJECTED", "t-2", "t-2 SERVED"), history);
    assertEquals(3, servers.traffic().opened());
    assertEquals(3, servers.traffic().open());
    assertEquals(
        "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: long\r\nContent-Length: 0\r\n\r\n".length() * 3
            - 2 * ("long".length() - "t-1".length()),
        servers.traffic().in());
    assertTrue(servers.traffic().out() > 0);
  }

  @Test
  void answersAreCutInHalfAndCounted() throws Exception {
    CounterHttpFake counter =
        new CounterHttpFake(group.next(), ANY, new FakeCounterSettings(1, MS, 99));
    open.add(counter);
    assertEquals("200 1", new Client(counter).send("POST /tally/a?n=1&keep_ms=60000").answer());
    long out = counter.traffic().out();
    counter.traffic().cutting(true);
    Client cut = new Client(counter).send("POST /tally/a?n=1&keep_ms=60000");
    long came = cut.in.lines().mapToInt(line -> line.length() + 2).sum();
    assertTrue(came < out, () -> came + " of " + out + " bytes came");
    assertEquals(1, counter.traffic().cut());
    counter.traffic().cutting(false);
    assertEquals("200 3", new Client(counter).send("POST /tally/a?n=1&keep_ms=60000").answer());
  }
}
