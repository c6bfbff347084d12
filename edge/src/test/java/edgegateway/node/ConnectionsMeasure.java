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
 * What connections cost and how fair they are, of one program or of several by turns: {@code
 * -Djars=before.jar,after.jar} names them. Bounded in count and time; not part of the build's
 * tests.
 */
@Tag("measure")
@Timeout(600)
class ConnectionsMeasure extends NodeTest {
  private static final int ROUNDS = 5;
  @TempDir Path folder;
  private int configs;

  /** A program under measurement, in a process of its own. */
  private final class Program implements AutoCloseable {
    private final Process process;
    private final InetSocketAddress at;

    Program(String jar, int sockets, String... members) throws Exception {
      Path file = folder.resolve("config-" + configs++ + ".json");
      Files.writeString(
          file,
          config(members)
              .replace("\"sockets\": 1024", "\"sockets\": " + sockets)
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
      Thread reads = new Thread(() -> process.inputReader().lines().forEach(l -> {}));
      reads.setDaemon(true);
      reads.start();
      for (int i = 0; i < 3_000; i++) {
        try (Socket socket = from(200, at)) {
          exchangeOrder(socket, "warm-" + i);
        }
      }
    }

    @Override
    public void close() {
      process.destroyForcibly().onExit().join();
    }
  }

  private static Socket from(int peer, InetSocketAddress to) throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress("127.0.0." + peer, 0));
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

  private static String[] many(FakePeer server, int names) {
    FakePeer[] servers = new FakePeer[names];
    Arrays.fill(servers, server);
    return members(servers);
  }

  /** Spans of requests in ms; one that failed or took over a second counts as 1,000. */
  private static String told(ConcurrentLinkedQueue<Double> spans) {
    double[] sorted = spans.stream().mapToDouble(x -> x).sorted().toArray();
    long good = Arrays.stream(sorted).filter(x -> x < 1_000).count();
    return String.format(
        "%d of %d in time (%.3f), median %.1f, p99 %.1f ms",
        good,
        sorted.length,
        good / (double) sorted.length,
        sorted[sorted.length / 2],
        sorted[(int) (sorted.length * 0.99)]);
  }

  private static void timed(ConcurrentLinkedQueue<Double> spans, Socket socket, String id)
      throws IOException {
    long began = System.nanoTime();
    String how = "";
    try {
      how = exchangeOrder(socket, id);
    } finally {
      spans.add(how.equals("200") ? Math.min(1_000, (System.nanoTime() - began) / 1e6) : 1_000);
    }
  }

  @Test
  void wellBehavedPeersBesideAGreedyOne() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    for (int round = 0; round < ROUNDS; round++) {
      for (String jar : jars()) {
        try (Program program = new Program(jar, 256, many(server, 40))) {
          System.out.println("greedy " + jar + " " + round + ": " + greedy(program.at));
        }
      }
    }
  }

  private static String greedy(InetSocketAddress at) throws Exception {
    ConcurrentLinkedQueue<Double> spans = new ConcurrentLinkedQueue<>();
    ExecutorService all = Executors.newFixedThreadPool(9);
    long end = System.nanoTime() + 6_000_000_000L;
    all.submit(
        () -> {
          List<Socket> held = new ArrayList<>();
          while (System.nanoTime() < end) {
            try {
              Socket socket = from(1, at);
              held.add(socket);
              if (held.size() % 2 == 0) {
                // Silent ones, and such as begin a head that goes on slowly.
                socket.getOutputStream().write('G');
              }
            } catch (IOException e) {
              // It was turned away.
            }
            if (held.size() > 400) {
              held.remove(0).close();
            }
            Thread.sleep(2);
          }
          for (Socket socket : held) {
            socket.close();
          }
          return null;
        });
    AtomicInteger number = new AtomicInteger();
    for (int i = 0; i < 8; i++) {
      int peer = 10 + i;
      all.submit(
          () -> {
            Socket kept = null;
            while (System.nanoTime() < end) {
              try {
                // Two in three of its connections are used for some requests, after pauses.
                kept = kept == null ? from(peer, at) : kept;
                timed(spans, kept, "t-" + number.incrementAndGet());
                if (number.get() % 3 == 0) {
                  kept.close();
                  kept = null;
                }
              } catch (IOException | AssertionError e) {
                kept = null;
              }
              Thread.sleep(30);
            }
            return null;
          });
    }
    all.shutdown();
    assertTrue(all.awaitTermination(60, TimeUnit.SECONDS));
    return told(spans);
  }

  @Test
  void requestsInHandDuringASurge() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    for (int round = 0; round < ROUNDS; round++) {
      for (String jar : jars()) {
        for (int newcomers : new int[] {0, 2_000}) {
          try (Program program = new Program(jar, 1_024, many(server, 40))) {
            System.out.println(
                "surge of "
                    + newcomers
                    + " "
                    + jar
                    + " "
                    + round
                    + ": "
                    + surge(program.at, newcomers));
          }
        }
      }
    }
  }

  private static String surge(InetSocketAddress at, int newcomers) throws Exception {
    ConcurrentLinkedQueue<Double> spans = new ConcurrentLinkedQueue<>();
    ConcurrentLinkedQueue<Double> theirs = new ConcurrentLinkedQueue<>();
    ExecutorService all = Executors.newFixedThreadPool(48);
    long end = System.nanoTime() + 1_500_000_000L;
    for (int i = 0; i < 8; i++) {
      int peer = 10 + i;
      all.submit(
          () -> {
            try (Socket kept = from(peer, at)) {
              for (int n = 0; System.nanoTime() < end; n++) {
                timed(spans, kept, "t-" + peer + "-" + n);
                Thread.sleep(5);
              }
            }
            return null;
          });
    }
    for (int i = 0; i < newcomers; i++) {
      int number = i;
      all.submit(
          () -> {
            try (Socket socket = from(100 + number % 50, at)) {
              timed(theirs, socket, "n-" + number);
            }
            return null;
          });
    }
    all.shutdown();
    assertTrue(all.awaitTermination(60, TimeUnit.SECONDS));
    return "in hand " + told(spans) + (newcomers > 0 ? "; newcomers " + told(theirs) : "");
  }

  /** Thin traffic over many archive servers, then bursts over few. */
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
            int before = Arrays.stream(servers).mapToInt(FakePeer::accepted).sum();
            int requests = burst ? bursts(program.at) : thin(program.at);
            int opened = Arrays.stream(servers).mapToInt(FakePeer::accepted).sum() - before;
            System.out.printf(
                "connections, %s %s %d: %d for %d requests%n",
                burst ? "bursts" : "thin", jar, round, opened, requests);
          }
        }
      }
    }
  }

  private static int thin(InetSocketAddress at) throws Exception {
    // What the warm-up opened is gone by then.
    Thread.sleep(9_000);
    try (Socket socket = from(10, at)) {
      int requests = 0;
      for (long end = System.nanoTime() + 20_000_000_000L; System.nanoTime() < end; requests++) {
        exchangeOrder(socket, "thin-" + requests);
        Thread.sleep(100);
      }
      return requests;
    }
  }

  private static int bursts(InetSocketAddress at) throws Exception {
    ExecutorService all = Executors.newFixedThreadPool(24);
    for (int burst = 0; burst < 20; burst++) {
      for (int i = 0; i < 24; i++) {
        String id = "burst-" + burst + "-" + i;
        all.submit(
            () -> {
              try (Socket socket = from(10, at)) {
                return exchangeOrder(socket, id);
              }
            });
      }
      Thread.sleep(300);
    }
    all.shutdown();
    assertTrue(all.awaitTermination(60, TimeUnit.SECONDS));
    return 20 * 24;
  }

  private static long heap() throws InterruptedException {
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(50);
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private EdgeNode here(TestCertificate certificate) throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "x")));
    String text = config(member("s-0", server.address(), "Ready", 0));
    return startNode(
        certificate == null
            ? text
            : text.replace(
                "\"counter\"", "\"tls\":" + certificate.tlsSettings(8) + ",\"counter\""));
  }

  /**
   * Both ends are in this process: the clients' part is measured by plain sockets to a peer, and
   * taken off.
   */
  @Test
  void bytesOfAnIdleConnection() throws Exception {
    TestCertificate certificate = new TestCertificate(folder);
    SSLContext context = certificate.trustingContext();
    for (int round = 0; round < ROUNDS; round++) {
      for (boolean tls : new boolean[] {false, true}) {
        EdgeNode node = here(tls ? certificate : null);
        List<Socket> clients = new ArrayList<>();
        InetSocketAddress at = node.address();
        for (int i = 0; i < 50; i++) {
          exchangeOrder(open(context, at, tls), "w-" + i);
        }
        long heap = heap();
        long direct = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
        for (int i = 0; i < 300; i++) {
          clients.add(open(context, at, tls));
          exchangeOrder(clients.get(i), "t-" + i);
        }
        long both = heap() - heap;
        long buffers = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory() - direct;
        node.close();
        Thread.sleep(200);
        long clientsOnly = heap() - heap;
        System.out.printf(
            "idle %s %d: %d heap bytes of both ends, %d after the node closed, %d direct bytes each%n",
            tls ? "tls" : "plain", round, both / 300, clientsOnly / 300, buffers / 300);
        for (Socket one : clients) {
          one.close();
        }
      }
    }
  }

  private Socket open(SSLContext context, InetSocketAddress at, boolean tls) throws IOException {
    Socket socket =
        tls
            ? context.getSocketFactory().createSocket(at.getAddress(), at.getPort())
            : new Socket(at.getAddress(), at.getPort());
    toClose.add(socket);
    return socket;
  }

  /**
   * Processor time of the node's threads for handshakes, full and resumed, beside that of plain
   * connects.
   */
  @Test
  void handshakesFullAndResumed() throws Exception {
    TestCertificate certificate = new TestCertificate(folder);
    EdgeNode node = here(certificate);
    EdgeNode plain = here(null);
    for (int round = 0; round < ROUNDS + 1; round++) {
      double connect = shake(plain, null, false, null);
      for (String version : List.of("TLSv1.2", "TLSv1.3")) {
        double full = shake(node, certificate, false, version);
        double resumed = shake(node, certificate, true, version);
        System.out.printf(
            "handshake %s %d: full %.0f us, resumed %.0f us, ratio %.2f; plain connect %.0f us%n",
            version, round, full, resumed, full / resumed, connect);
      }
    }
  }

  private double shake(EdgeNode node, TestCertificate certificate, boolean resume, String version)
      throws Exception {
    SSLContext context = certificate == null ? null : certificate.trustingContext();
    long before = 0;
    for (int i = 0; i < 220; i++) {
      if (i == 20) {
        before = cpu();
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
    return (cpu() - before) / 200 / 1e3;
  }

  private static long cpu() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      String name =
          threads.getThreadInfo(id) == null ? "" : threads.getThreadInfo(id).getThreadName();
      sum +=
          name.startsWith("multiThreadIoEventLoopGroup") || name.startsWith("tls-keys")
              ? threads.getThreadCpuTime(id)
              : 0;
    }
    return sum;
  }
}
