package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures the cost of connections and the fairness among client addresses, for one build of the
 * program or for several in turn, named by {@code -Djars=before.jar,after.jar}. Bounded in count
 * and time; not run with the build's tests.
 */
@Tag("measure")
@Timeout(600)
class ConnectionsMeasure extends NodeTest {
  private static final int ROUNDS = 5;
  @TempDir Path folder;
  private int configFiles;

  /** A build of the program, run in its own process and warmed up with 3,000 requests. */
  private final class Program implements AutoCloseable {
    private final Process process;
    private final InetSocketAddress at;

    Program(String jar, int maxDescriptors, String... members) throws Exception {
      Path file = folder.resolve("config-" + configFiles++ + ".json");
      Files.writeString(
          file,
          config(members)
              .replace("\"sockets\": 1024", "\"sockets\": " + maxDescriptors)
              .replace("\"keepalive-ns\": 30000000000", "\"keepalive-ns\": 8000000000"));
      ProcessBuilder builder =
          new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-XX:+UseSerialGC",
              "-XX:TieredStopAtLevel=1",
              "-Xms48m",
              "-Xmx48m",
              "-XX:MaxDirectMemorySize=32m",
              "-Dio.netty.leakDetection.level=disabled",
              "-jar",
              jar,
              "serve");
      builder.environment().put("GW_CONFIG", file.toString());
      process = builder.redirectErrorStream(true).start();
      String line =
          process
              .inputReader()
              .lines()
              .filter(l -> l.startsWith("serving address="))
              .findFirst()
              .orElseThrow();
      at =
          new InetSocketAddress(
              "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
      Thread logReader = new Thread(() -> process.inputReader().lines().forEach(l -> {}));
      logReader.setDaemon(true);
      logReader.start();
      for (int i = 0; i < 3_000; i++) {
        try (Socket socket = connectFrom(200, at)) {
          exchangeOrder(socket, "warm-" + i);
        }
      }
    }

    @Override
    public void close() {
      process.destroyForcibly().onExit().join();
    }
  }

  /** Connects from the client address 127.0.0.{@code hostNumber}. */
  private static Socket connectFrom(int hostNumber, InetSocketAddress to) throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress("127.0.0." + hostNumber, 0));
    socket.connect(to, 1_000);
    socket.setSoTimeout(1_000);
    return socket;
  }

  private static String[] jars() {
    String jars = System.getProperty("jars", "target/edge-gateway.jar");
    return jars.split(",");
  }

  private static String[] members(FakePeer... servers) {
    String[] members = new String[servers.length];
    for (int i = 0; i < members.length; i++) {
      members[i] = member("s-" + i, servers[i].address(), "Ready", 0);
    }
    return members;
  }

  /** The server as several members. */
  private static String[] repeatedMembers(FakePeer server, int count) {
    FakePeer[] servers = new FakePeer[count];
    Arrays.fill(servers, server);
    return members(servers);
  }

  /** A summary of request durations; requests that failed or took over 1 s have 1,000 ms. */
  private static String summarize(ConcurrentLinkedQueue<Double> durationsMillis) {
    double[] sorted = durationsMillis.stream().mapToDouble(duration -> duration).sorted().toArray();
    long succeeded = Arrays.stream(sorted).filter(duration -> duration < 1_000).count();
    return String.format(
        "%d of %d in time (%.3f), median %.1f, p99 %.1f ms",
        succeeded,
        sorted.length,
        succeeded / (double) sorted.length,
        sorted[sorted.length / 2],
        sorted[(int) (sorted.length * 0.99)]);
  }

  /** Sends a request and adds its duration: 1,000 ms if it failed or took longer. */
  private static void timeRequest(
      ConcurrentLinkedQueue<Double> durationsMillis, Socket socket, String id) throws IOException {
    long startNanos = System.nanoTime();
    String status = "";
    try {
      status = exchangeOrder(socket, id);
    } finally {
      durationsMillis.add(
          status.equals("200") ? Math.min(1_000, (System.nanoTime() - startNanos) / 1e6) : 1_000);
    }
  }

  @Test
  void latencyOfWellBehavedAddressesBesideAGreedyAddress() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    for (int round = 0; round < ROUNDS; round++) {
      for (String jar : jars()) {
        try (Program program = new Program(jar, 256, repeatedMembers(server, 40))) {
          System.out.println(
              "greedy " + jar + " " + round + ": " + measureBesideGreedyAddress(program.at));
        }
      }
    }
  }

  private static String measureBesideGreedyAddress(InetSocketAddress at) throws Exception {
    ConcurrentLinkedQueue<Double> durationsMillis = new ConcurrentLinkedQueue<>();
    ExecutorService executor = Executors.newFixedThreadPool(9);
    long endNanos = System.nanoTime() + 6_000_000_000L;
    executor.submit(
        () -> {
          List<Socket> greedySockets = new ArrayList<>();
          while (System.nanoTime() < endNanos) {
            try {
              Socket socket = connectFrom(1, at);
              greedySockets.add(socket);
              if (greedySockets.size() % 2 == 0) {
                // Half of the connections stay idle, half begin a request head and stop.
                socket.getOutputStream().write('G');
              }
            } catch (IOException e) {
              // The node rejected the connection.
            }
            if (greedySockets.size() > 400) {
              greedySockets.remove(0).close();
            }
            Thread.sleep(2);
          }
          for (Socket socket : greedySockets) {
            socket.close();
          }
          return null;
        });
    AtomicInteger number = new AtomicInteger();
    for (int i = 0; i < 8; i++) {
      int hostNumber = 10 + i;
      executor.submit(
          () -> {
            Socket connection = null;
            while (System.nanoTime() < endNanos) {
              try {
                // Requests 30 ms apart; a connection is closed after a request with a number
                // divisible by 3.
                connection = connection == null ? connectFrom(hostNumber, at) : connection;
                timeRequest(durationsMillis, connection, "t-" + number.incrementAndGet());
                if (number.get() % 3 == 0) {
                  connection.close();
                  connection = null;
                }
              } catch (IOException | AssertionError e) {
                connection = null;
              }
              Thread.sleep(30);
            }
            return null;
          });
    }
    executor.shutdown();
    assertTrue(executor.awaitTermination(60, TimeUnit.SECONDS));
    return summarize(durationsMillis);
  }

  @Test
  void latencyOnEstablishedConnectionsDuringASurge() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    for (int round = 0; round < ROUNDS; round++) {
      for (String jar : jars()) {
        for (int newClients : new int[] {0, 2_000}) {
          try (Program program = new Program(jar, 1_024, repeatedMembers(server, 40))) {
            System.out.println(
                "surge of "
                    + newClients
                    + " "
                    + jar
                    + " "
                    + round
                    + ": "
                    + measureSurge(program.at, newClients));
          }
        }
      }
    }
  }

  private static String measureSurge(InetSocketAddress at, int newClients) throws Exception {
    ConcurrentLinkedQueue<Double> durationsMillis = new ConcurrentLinkedQueue<>();
    ConcurrentLinkedQueue<Double> newClientDurationsMillis = new ConcurrentLinkedQueue<>();
    ExecutorService executor = Executors.newFixedThreadPool(48);
    long endNanos = System.nanoTime() + 1_500_000_000L;
    for (int i = 0; i < 8; i++) {
      int hostNumber = 10 + i;
      executor.submit(
          () -> {
            try (Socket connection = connectFrom(hostNumber, at)) {
              for (int n = 0; System.nanoTime() < endNanos; n++) {
                timeRequest(durationsMillis, connection, "t-" + hostNumber + "-" + n);
                Thread.sleep(5);
              }
            }
            return null;
          });
    }
    for (int i = 0; i < newClients; i++) {
      int number = i;
      executor.submit(
          () -> {
            try (Socket socket = connectFrom(100 + number % 50, at)) {
              timeRequest(newClientDurationsMillis, socket, "n-" + number);
            }
            return null;
          });
    }
    executor.shutdown();
    assertTrue(executor.awaitTermination(60, TimeUnit.SECONDS));
    return "established connections: "
        + summarize(durationsMillis)
        + (newClients > 0 ? "; new clients: " + summarize(newClientDurationsMillis) : "");
  }

  /** Sparse requests to 20 archive servers, then bursts of requests to 4. */
  @Test
  void connectionsOpenedToArchiveServers() throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      for (String jar : jars()) {
        for (boolean burst : new boolean[] {false, true}) {
          FakePeer[] servers = new FakePeer[burst ? 4 : 20];
          for (int i = 0; i < servers.length; i++) {
            servers[i] =
                peer(
                    m -> {
                      Thread.sleep(20);
                      m.answer(FakePeer.ok("", "x"));
                    });
          }
          try (Program program = new Program(jar, 256, members(servers))) {
            int openedBefore = Arrays.stream(servers).mapToInt(FakePeer::accepted).sum();
            int requests = burst ? sendBursts(program.at) : sendSparseRequests(program.at);
            int opened = Arrays.stream(servers).mapToInt(FakePeer::accepted).sum() - openedBefore;
            System.out.printf(
                "connections, %s %s %d: %d for %d requests%n",
                burst ? "bursts" : "sparse", jar, round, opened, requests);
          }
        }
      }
    }
  }

  private static int sendSparseRequests(InetSocketAddress at) throws Exception {
    // The connections of the warm-up are closed after 8 s without a request.
    Thread.sleep(9_000);
    try (Socket socket = connectFrom(10, at)) {
      int requests = 0;
      for (long endNanos = System.nanoTime() + 20_000_000_000L;
          System.nanoTime() < endNanos;
          requests++) {
        exchangeOrder(socket, "sparse-" + requests);
        Thread.sleep(100);
      }
      return requests;
    }
  }

  private static int sendBursts(InetSocketAddress at) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(24);
    for (int burst = 0; burst < 20; burst++) {
      for (int i = 0; i < 24; i++) {
        String id = "burst-" + burst + "-" + i;
        executor.submit(
            () -> {
              try (Socket socket = connectFrom(10, at)) {
                return exchangeOrder(socket, id);
              }
            });
      }
      Thread.sleep(300);
    }
    executor.shutdown();
    assertTrue(executor.awaitTermination(60, TimeUnit.SECONDS));
    return 20 * 24;
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(50);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Starts a node in this process; without TLS if the certificate is null. */
  private EdgeNode startInProcess(TestCertificate certificate) throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    String text = config(member("s-0", server.address(), "Ready", 0));
    return startNode(
        certificate == null
            ? text
            : text.replace(
                "\"counter\"", "\"tls\":" + certificate.tlsSettings(8) + ",\"counter\""));
  }

  /**
   * Both ends of the connections are in this process. Prints the heap bytes of both, and those that
   * remain when the node is closed, which are the clients' part.
   */
  @Test
  void memoryOfAnIdleConnection() throws Exception {
    TestCertificate certificate = new TestCertificate(folder);
    SSLContext context = certificate.trustingContext();
    for (int round = 0; round < ROUNDS; round++) {
      for (boolean tls : new boolean[] {false, true}) {
        EdgeNode node = startInProcess(tls ? certificate : null);
        List<Socket> clients = new ArrayList<>();
        InetSocketAddress at = node.address();
        for (int i = 0; i < 50; i++) {
          exchangeOrder(connect(context, at, tls), "w-" + i);
        }
        long heapBefore = usedHeapBytes();
        long directBefore = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
        for (int i = 0; i < 300; i++) {
          clients.add(connect(context, at, tls));
          exchangeOrder(clients.get(i), "t-" + i);
        }
        long bothEndsBytes = usedHeapBytes() - heapBefore;
        long directBytes =
            PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - directBefore;
        node.close();
        Thread.sleep(200);
        long clientEndBytes = usedHeapBytes() - heapBefore;
        System.out.printf(
            "idle %s %d: %d heap bytes of both ends, %d after the node closed, %d direct bytes each%n",
            tls ? "tls" : "plain",
            round,
            bothEndsBytes / 300,
            clientEndBytes / 300,
            directBytes / 300);
        for (Socket client : clients) {
          client.close();
        }
      }
    }
  }

  private Socket connect(SSLContext context, InetSocketAddress at, boolean tls) throws IOException {
    Socket socket =
        tls
            ? context.getSocketFactory().createSocket(at.getAddress(), at.getPort())
            : new Socket(at.getAddress(), at.getPort());
    toClose.add(socket);
    return socket;
  }

  /**
   * Processor time of the node's threads per full and per resumed TLS handshake, compared with a
   * connection without TLS. Each includes one request.
   */
  @Test
  void cpuTimeOfFullAndResumedHandshakes() throws Exception {
    TestCertificate certificate = new TestCertificate(folder);
    EdgeNode node = startInProcess(certificate);
    EdgeNode plain = startInProcess(null);
    for (int round = 0; round < ROUNDS + 1; round++) {
      double plainMicros = measureConnections(plain, null, false, null);
      for (String version : List.of("TLSv1.2", "TLSv1.3")) {
        double fullMicros = measureConnections(node, certificate, false, version);
        double resumedMicros = measureConnections(node, certificate, true, version);
        System.out.printf(
            "handshake %s %d: full %.0f us, resumed %.0f us, ratio %.2f; plain connect %.0f us%n",
            version, round, fullMicros, resumedMicros, fullMicros / resumedMicros, plainMicros);
      }
    }
  }

  /**
   * Microseconds of processor time per connection, over 200 of them after 20 to warm up.
   *
   * @param certificate null for connections without TLS
   * @param version the TLS version; ignored without TLS
   */
  private double measureConnections(
      EdgeNode node, TestCertificate certificate, boolean resume, String version) throws Exception {
    SSLContext context = certificate == null ? null : certificate.trustingContext();
    long cpuBefore = 0;
    for (int i = 0; i < 220; i++) {
      if (i == 20) {
        cpuBefore = nodeCpuNanos();
      }
      context = certificate == null || resume ? context : certificate.trustingContext();
      InetSocketAddress at = node.address();
      try (Socket socket =
          context == null
              ? new Socket(at.getAddress(), at.getPort())
              : context.getSocketFactory().createSocket(at.getAddress(), at.getPort())) {
        if (socket instanceof SSLSocket secured) {
          secured.setEnabledProtocols(new String[] {version});
        }
        exchangeOrder(socket, "h-" + i);
      }
    }
    return (nodeCpuNanos() - cpuBefore) / 200 / 1e3;
  }

  /** Processor time of the event loop's and the TLS key threads in this process. */
  private static long nodeCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sumNanos = 0;
    for (long id : threads.getAllThreadIds()) {
      String name =
          threads.getThreadInfo(id) == null ? "" : threads.getThreadInfo(id).getThreadName();
      sumNanos +=
          name.startsWith("multiThreadIoEventLoopGroup") || name.startsWith("tls-keys")
              ? threads.getThreadCpuTime(id)
              : 0;
    }
    return sumNanos;
  }
}
