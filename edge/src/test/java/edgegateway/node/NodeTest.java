package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfigParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of edge node tests: starts scripted peers, nodes and clients and sends requests. */
abstract class NodeTest {
  private static final String WATCH_WITHOUT_CHANGES =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

  private static final int SMALL_BUFFER_BYTES = 64 << 10;

  /** Closed after each test, last added first. */
  final List<AutoCloseable> toClose = new ArrayList<>();

  FakePeer discovery;
  FakePeer counter;

  /** How the counter responds; a test may replace it. */
  volatile FakePeer.Script counterScript = m -> m.answer(FakePeer.ok("", "1"));

  @BeforeEach
  void startPeers() throws IOException {
    discovery = peer(m -> m.answer(WATCH_WITHOUT_CHANGES));
    counter = peer(m -> counterScript.on(m));
  }

  @AfterEach
  void closeAll() throws Exception {
    for (int i = toClose.size() - 1; i >= 0; i--) {
      toClose.get(i).close();
    }
  }

  FakePeer peer(FakePeer.Script script) throws IOException {
    FakePeer peer = new FakePeer(script);
    toClose.add(peer);
    return peer;
  }

  /** The JSON entry of an archive server in the endpoint list. */
  static String member(String id, String address, String phase, long upSinceMillis) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,"
        + "\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":"
        + upSinceMillis
        + "}";
  }

  /**
   * The server as 40 members, since the balancing policy limits the attempts in flight for each
   * member.
   */
  static String[] asManyMembers(FakePeer server) {
    return asManyMembers(server.address());
  }

  /** Like {@link #asManyMembers(FakePeer)}, for the server at an address. */
  static String[] asManyMembers(String address) {
    String[] members = new String[40];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, address, "Ready", 0);
    }
    return members;
  }

  /** The configuration {@code node.json} with the test's peers and the given endpoint list. */
  String config(String... members) throws IOException {
    return Files.readString(Path.of("src/test/resources/node.json"))
        .replace("DISCOVERY", discovery.address())
        .replace("COUNTER", counter.address())
        .replace("MEMBERS", String.join(",", members));
  }

  /**
   * Starts a server that answers each request with the same body.
   *
   * @param permit completed when it may answer
   */
  FakePeer peerAnsweringAfter(CompletableFuture<Void> permit, String body) throws IOException {
    return peer(
        message -> {
          permit.join();
          message.answer(FakePeer.ok("", body));
        });
  }

  /** Starts a node whose configured endpoint list holds the given servers. */
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

  /** Starts a node that keeps its files in the given folder, or keeps none if that is null. */
  EdgeNode startNode(String config, Path folder) throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigParser.parse(config), folder);
    toClose.add(node);
    node.start();
    return node;
  }

  /**
   * Starts the program in a separate process.
   *
   * @param launcher the words of a command to which the Java command line is appended; may be empty
   */
  Process startProcess(Path config, List<String> launcher) throws IOException {
    return startProcess(config, launcher, System.getProperty("java.class.path"));
  }

  /** Starts the program from the given class path; see {@link #startProcess(Path, List)}. */
  Process startProcess(Path config, List<String> launcher, String classPath) throws IOException {
    List<String> command = new ArrayList<>(launcher);
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            classPath,
            "edgegateway.node.Main",
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("GW_CONFIG", config.toString());
    Process process = builder.redirectErrorStream(true).start();
    toClose.add(() -> kill(process));
    return process;
  }

  /** Waits until the process logs the address that it listens on, and returns it on loopback. */
  static InetSocketAddress awaitListenAddress(Process process) {
    String line = nextLogLine(process, "serving address=");
    return new InetSocketAddress(
        "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  /** Waits for the next line of the process's log that starts with {@code start}. */
  static String nextLogLine(Process process, String start) {
    return process
        .inputReader()
        .lines()
        .filter(line -> line.startsWith(start))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Kills a process, if it runs, and waits for its end. {@link Process#destroyForcibly} does
   * nothing if the start time that it computes from the wall clock differs from the one at the
   * start.
   */
  static void kill(Process process) throws Exception {
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-KILL", Long.toString(process.pid())).start().waitFor();
    }
    assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process was not killed");
  }

  static void sendSignal(Process process, String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  /** Connects a client, which waits for a response for at most 60 s. */
  Socket client(EdgeNode node) throws IOException {
    InetSocketAddress address = node.address();
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(60_000);
    toClose.add(socket);
    return socket;
  }

  /** The value of a metric; {@code name} without the prefix {@code app.}. */
  static long metric(EdgeNode node, String name) {
    for (String line : node.metrics.render().split("\n")) {
      if (line.startsWith("app." + name + "=")) {
        return Long.parseLong(line.substring(line.indexOf('=') + 1));
      }
    }
    throw new AssertionError("no metric " + name);
  }

  /** Waits until a metric has the value. */
  static void awaitMetric(EdgeNode node, String name, long value) throws InterruptedException {
    while (metric(node, name) != value) {
      Thread.sleep(5);
    }
  }

  /** Connects a client whose system holds little that it has not read. */
  static Socket connectWithSmallBuffer(EdgeNode node, int readTimeoutMillis) throws IOException {
    Socket client = new Socket();
    client.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    client.setSoTimeout(readTimeoutMillis);
    InetSocketAddress address = node.address();
    client.connect(new InetSocketAddress(address.getAddress(), address.getPort()));
    return client;
  }

  /** Reads to the end of a message's head; null if the connection ends before. */
  static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int b = in.read();
      if (b < 0) {
        return null;
      }
      head.append((char) b);
    }
    return head.toString();
  }

  /** Reads a response, after any interim ones; null if the connection ends before. */
  static FakePeer.Message readFinal(Socket socket) throws IOException {
    FakePeer.Message response = FakePeer.read(socket);
    while (response != null && status(response).equals("100")) {
      response = FakePeer.read(socket);
    }
    return response;
  }

  /** Reads the head of a response, after any interim ones; null if the connection ends before. */
  static String readFinalHead(InputStream in) throws IOException {
    String head = readHead(in);
    while (head != null && head.startsWith("HTTP/1.1 100")) {
      head = readHead(in);
    }
    return head;
  }

  /** The headers of a valid request with the given trace id, class and time to its deadline. */
  static Map<String, String> headers(String traceId, String requestClass, String expiresInMillis) {
    Map<String, String> headers =
        new TreeMap<>(
            Map.of(
                "Host",
                "app.svc",
                "X-Trace-Id",
                traceId,
                "X-Qos",
                requestClass,
                "X-Plan",
                "bulk",
                "Cookie",
                "customer=0000000000000007",
                "X-Expires-In-Ms",
                expiresInMillis,
                "X-Quota",
                "units=1,spread=1,first=0"));
    if (requestClass.equals("order")) {
      headers.put("Idempotency-Key", "key-" + traceId);
    }
    return headers;
  }

  /**
   * Sends a request.
   *
   * @param methodAndPath for example {@code GET /api}
   */
  static void sendRequest(
      Socket client, String methodAndPath, Map<String, String> headers, String body)
      throws IOException {
    StringBuilder text = new StringBuilder(methodAndPath).append(" HTTP/1.1\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    client.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
  }

  static void sendOrder(Socket client, String traceId) throws IOException {
    sendRequest(client, "POST /api?slot=4", headers(traceId, "order", "20000"), "book");
  }

  static String status(FakePeer.Message response) {
    assertNotNull(response, "the connection ended without a response");
    return response.startLine().split(" ")[1];
  }

  /** Sends an order and returns the status code of its response. */
  static String exchangeOrder(Socket client, String traceId) throws IOException {
    sendOrder(client, traceId);
    return status(FakePeer.read(client));
  }
}
