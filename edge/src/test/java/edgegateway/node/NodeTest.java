package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import edgegateway.node.config.NodeConfigParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** What tests of an edge node share: its scripted peers, its clients and their requests. */
abstract class NodeTest {
  private static final String UNCHANGED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
  final List<AutoCloseable> toClose = new ArrayList<>();
  FakePeer discovery;
  FakePeer counter;
  volatile FakePeer.Script counterScript = m -> m.answer(FakePeer.ok("", "1"));

  @BeforeEach
  void peers() throws IOException {
    discovery = peer(m -> m.answer(UNCHANGED));
    counter = peer(m -> counterScript.on(m));
  }

  @AfterEach
  void close() throws Exception {
    for (int i = toClose.size() - 1; i >= 0; i--) {
      toClose.get(i).close();
    }
  }

  FakePeer peer(FakePeer.Script script) throws IOException {
    FakePeer peer = new FakePeer(script);
    toClose.add(peer);
    return peer;
  }

  static String member(String id, String address, String phase, long since) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,"
        + "\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":"
        + since
        + "}";
  }

  String config(String... members) throws IOException {
    return Files.readString(Path.of("src/test/resources/node.json"))
        .replace("DISCOVERY", discovery.address())
        .replace("COUNTER", counter.address())
        .replace("MEMBERS", String.join(",", members));
  }

  EdgeNode startNode(FakePeer... servers) throws Exception {
    String[] members = new String[servers.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
    }
    return startNode(config(members));
  }

  EdgeNode startNode(String config) throws Exception {
    return startNode(config, null);
  }

  EdgeNode startNode(String config, Path folder) throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigParser.parse(config), folder);
    toClose.add(node);
    node.start();
    return node;
  }

  /** The program in a process of its own, begun by these words. */
  Process startProcess(Path config, List<String> by) throws IOException {
    List<String> words = new ArrayList<>(by);
    words.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "edgegateway.node.Main",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("GW_CONFIG", config.toString());
    Process process = builder.redirectErrorStream(true).start();
    toClose.add(() -> process.destroyForcibly().waitFor());
    return process;
  }

  /** Where it serves, once it says so. */
  static InetSocketAddress awaitListenAddress(Process process) {
    String line = nextLogLine(process, "serving address=");
    return new InetSocketAddress(
        "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  /** The next line of its log that begins so. */
  static String nextLogLine(Process process, String start) {
    return process
        .inputReader()
        .lines()
        .filter(line -> line.startsWith(start))
        .findFirst()
        .orElseThrow();
  }

  static void signal(Process process, String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  Socket client(EdgeNode node) throws IOException {
    InetSocketAddress at = node.address();
    Socket socket = new Socket(at.getAddress(), at.getPort());
    socket.setSoTimeout(60_000);
    toClose.add(socket);
    return socket;
  }

  static Map<String, String> headers(String id, String requestClass, String expires) {
    Map<String, String> headers =
        new TreeMap<>(
            Map.of(
                "Host",
                "app.svc",
                "X-Trace-Id",
                id,
                "X-Qos",
                requestClass,
                "X-Plan",
                "bulk",
                "Cookie",
                "customer=0000000000000007",
                "X-Expires-In-Ms",
                expires,
                "X-Quota",
                "units=1,spread=1,first=0"));
    if (requestClass.equals("order")) {
      headers.put("Idempotency-Key", "key-" + id);
    }
    return headers;
  }

  static void sendRequest(Socket to, String first, Map<String, String> headers, String body)
      throws IOException {
    StringBuilder text = new StringBuilder(first).append(" HTTP/1.1\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    to.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  static void sendOrder(Socket to, String id) throws IOException {
    sendRequest(to, "POST /api?slot=4", headers(id, "order", "20000"), "book");
  }

  static String status(FakePeer.Message answer) {
    assertNotNull(answer, "the connection ended without an answer");
    return answer.first().split(" ")[1];
  }

  static String exchangeOrder(Socket client, String id) throws IOException {
    sendOrder(client, id);
    return status(FakePeer.read(client));
  }
}
