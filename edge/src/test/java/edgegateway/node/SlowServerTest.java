package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.SlowResponse.Framing;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a process of the node whose archive servers write or read slowly, with pauses. */
@Timeout(60)
class SlowServerTest extends NodeTest {
  /** Some time shorter than clients wait, so that it also bounds the attempts. */
  private static final int OBJECTIVE_MILLIS = 748;

  private static final int GRACE_MILLIS = 500;

  /** By how much time limits are longer on sockets than in the simulator. */
  private static final int SOCKET_MILLIS = 50;

  private static final int MAX_HOLD_MILLIS = 2_000;

  /** Longer than any pause here. */
  private static final int WAIT_MILLIS = 6_000;

  private static final int NEVER_MILLIS = 60_000;
  private static final int QUICK_REQUESTS = 40;

  @TempDir Path folder;

  /**
   * A request of a client.
   *
   * @param requestClass its class
   * @param waitMillis how long the client waits
   */
  private record Exchange(String requestClass, int waitMillis, SlowResponse response) {}

  private InetSocketAddress startNodeProcess(String server, int objectiveMillis) throws Exception {
    String config =
        config(asManyMembers(server))
            .replace("\"aim-ns\": 10000000000", "\"aim-ns\": " + objectiveMillis + "000000")
            .replace("\"late-value\": 0.2", "\"late-value\": 0");
    Path file = Files.writeString(folder.resolve("config.json"), config);
    Process process = startProcess(file, List.of());
    InetSocketAddress address = awaitListenAddress(process);
    nextLogLine(process, "warmed_up");
    FakePeer.startDaemon(() -> process.inputReader().lines().forEach(line -> {}));
    try (Socket client = connect(address)) {
      for (int i = 0; i < QUICK_REQUESTS; i++) {
        sendRequest(client, "GET /api", headers("quick-" + i, "lookup", "2000"), "");
        FakePeer.read(client);
      }
    }
    return address;
  }

  private Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(20_000);
    toClose.add(socket);
    return socket;
  }

  /** Requests a response; returns what went wrong, or {@code whole}. */
  private String exchange(InetSocketAddress address, Exchange exchange, String id) {
    try (Socket client = connect(address)) {
      long startNanos = System.nanoTime();
      Map<String, String> headers =
          headers(id, exchange.requestClass(), Integer.toString(exchange.waitMillis()));
      headers.put("Cookie", "customer=%016x".formatted(id.hashCode() & 0xffff));
      String method = exchange.requestClass().equals("lookup") ? "GET " : "POST ";
      sendRequest(client, method + exchange.response().path(), headers, "");
      InputStream in = client.getInputStream();
      String head = readFinalHead(in);
      long firstMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      if (head == null || !head.startsWith("HTTP/1.1 200")) {
        return "not served after " + firstMillis + " ms: " + head;
      }
      if (firstMillis > exchange.waitMillis() + SOCKET_MILLIS) {
        return "began after " + firstMillis + " ms";
      }
      byte[] body = exchange.response().readBody(head, in);
      return Arrays.equals(exchange.response().body(), body) ? "whole" : "another body";
    } catch (IOException e) {
      return "cut: " + e;
    }
  }

  private SlowServer startServer(int receiveBufferBytes) throws IOException {
    SlowServer server = new SlowServer(receiveBufferBytes);
    toClose.add(server);
    return server;
  }

  private void assertAllWhole(List<Exchange> exchanges) throws Exception {
    InetSocketAddress address = startNodeProcess(startServer(0).address(), OBJECTIVE_MILLIS);
    assertAll("whole", exchanges, (exchange, id) -> exchange(address, exchange, id));
  }

  /** Plays all cases at once, each with an id of its own, and compares their results. */
  private static <T> void assertAll(
      String expected, List<T> cases, BiFunction<T, String, String> play) throws Exception {
    List<CompletableFuture<String>> results = new ArrayList<>();
    for (T one : cases) {
      String id = "t-" + results.size();
      results.add(
          CompletableFuture.supplyAsync(
              () -> play.apply(one, id), task -> new Thread(task).start()));
    }
    List<String> wrong = new ArrayList<>();
    for (int i = 0; i < cases.size(); i++) {
      String result = results.get(i).get();
      if (!result.equals(expected)) {
        wrong.add(cases.get(i) + ": " + result);
      }
    }
    assertEquals("", String.join("\n", wrong));
  }

  @Test
  void aLongResponseIsNotCutOffWhileItsServerPauses() throws Exception {
    List<Exchange> exchanges = new ArrayList<>();
    for (String requestClass : new String[] {"lookup", "order", "strict"}) {
      for (Framing framing : Framing.values()) {
        for (int pause : new int[] {850, 2_000}) {
          SlowResponse lumps = new SlowResponse(framing, 163_813, 54_604, 0, pause);
          exchanges.add(new Exchange(requestClass, 760, lumps));
          exchanges.add(new Exchange(requestClass, 2_281, lumps));
          SlowResponse lateBody = new SlowResponse(framing, 149_362, 149_362, pause, 0);
          exchanges.add(new Exchange(requestClass, 2_281, lateBody));
        }
        SlowResponse lateBody = new SlowResponse(framing, 149_362, 149_362, 900, 0);
        exchanges.add(new Exchange(requestClass, 760, lateBody));
        SlowResponse steady = new SlowResponse(framing, 137_265, 1_000, 10, 10);
        exchanges.add(new Exchange(requestClass, 760, steady));
        SlowResponse slowSteady = new SlowResponse(framing, 137_265, 1_000, 30, 30);
        exchanges.add(new Exchange(requestClass, 760, slowSteady));
      }
    }
    assertAllWhole(exchanges);
  }

  /** Guards against taking a long response for short while little of it has come. */
  @Test
  void aLongResponseIsNotCutOffThoughItsBeginningIsWrittenSlowly() throws Exception {
    List<Exchange> exchanges = new ArrayList<>();
    for (String requestClass : new String[] {"lookup", "order", "strict"}) {
      for (Framing framing : Framing.values()) {
        SlowResponse lumps = new SlowResponse(framing, 70_000, 7_000, 0, 900);
        exchanges.add(new Exchange(requestClass, 760, lumps));
        SlowResponse steady = new SlowResponse(framing, 66_000, 1_000, 10, 200);
        exchanges.add(new Exchange(requestClass, 760, steady));
        exchanges.add(new Exchange(requestClass, 2_281, steady));
        SlowResponse unevenly = new SlowResponse(framing, 66_000, 8_000, 150, 1_500);
        exchanges.add(new Exchange(requestClass, 2_281, unevenly));
      }
    }
    assertAllWhole(exchanges);
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void aResponseIsNotCutOffWhileItsServerWritesTheHead(Framing framing) throws Exception {
    SlowResponse response = new SlowResponse(framing, 149_362, 149_362, 0, 0);
    FakePeer server =
        peer(
            m -> {
              if (SlowResponse.requestedBy(m.startLine()) == null) {
                m.answer(FakePeer.ok("", "done"));
              } else {
                response.sendHeadInPieces(m.socket(), 2 * OBJECTIVE_MILLIS);
                response.sendBody(m.socket());
              }
            });
    InetSocketAddress address = startNodeProcess(server.address(), OBJECTIVE_MILLIS);
    for (String requestClass : new String[] {"lookup", "strict"}) {
      Exchange exchange = new Exchange(requestClass, 2_281, response);
      assertEquals("whole", exchange(address, exchange, "t-" + requestClass), requestClass);
    }
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void aShortResponseThatNeverEndsIsRefusedOrCutInTime(Framing framing) throws Exception {
    InetSocketAddress address = startNodeProcess(startServer(0).address(), OBJECTIVE_MILLIS);
    for (int received : new int[] {1_000, 10_000}) {
      SlowResponse response = new SlowResponse(framing, 20_000, received, 0, NEVER_MILLIS);
      Exchange exchange = new Exchange("strict", 760, response);
      long startNanos = System.nanoTime();
      String result = exchange(address, exchange, "t-" + received);
      long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertNotEquals("whole", result);
      assertTrue(elapsedMillis < exchange.waitMillis() + GRACE_MILLIS, elapsedMillis + " ms");
    }
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void theBeginningOfALongResponseIsNotHeldBackForSeconds(Framing framing) throws Exception {
    InetSocketAddress address = startNodeProcess(startServer(0).address(), WAIT_MILLIS);
    assertBeginsInTime(
        address, new SlowResponse(framing, 100_000, 50_000, 0, MAX_HOLD_MILLIS + 500));
    // Its first 16 KiB take longer than its beginning may be held back.
    assertBeginsInTime(address, new SlowResponse(framing, 66_000, 2_000, 0, 300));
  }

  private void assertBeginsInTime(InetSocketAddress address, SlowResponse response)
      throws Exception {
    try (Socket client = connect(address)) {
      long startNanos = System.nanoTime();
      sendRequest(
          client,
          "POST " + response.path(),
          headers("t-" + response.bytes(), "strict", Integer.toString(WAIT_MILLIS)),
          "");
      String head = readHead(client.getInputStream());
      long firstMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      assertTrue(firstMillis < MAX_HOLD_MILLIS, "first bytes after " + firstMillis + " ms");
      assertArrayEquals(response.body(), response.readBody(head, client.getInputStream()));
    }
  }

  /** Sends a large request; returns what went wrong, or {@code in time}. */
  private String upload(InetSocketAddress address, LargeUpload upload, String id) {
    try (Socket client = connect(address)) {
      AtomicLong sentNanos = new AtomicLong(Long.MAX_VALUE);
      Map<String, String> headers = headers(id, "order", Integer.toString(upload.waitMillis()));
      FakePeer.startDaemon(
          () -> {
            upload.send(client.getOutputStream(), headers);
            sentNanos.set(System.nanoTime());
          });
      FakePeer.Message response = readFinal(client);
      long lateMillis =
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos.get()) - upload.waitMillis();
      if (response == null || status(response).equals("200")) {
        return "answered by " + response;
      }
      boolean sent = sentNanos.get() != Long.MAX_VALUE;
      return sent && lateMillis > GRACE_MILLIS ? "late by " + lateMillis + " ms" : "in time";
    } catch (IOException e) {
      return "no answer: " + e;
    }
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void aLongResponseToALargeRequestIsNotCutOff(Framing framing) throws Exception {
    InetSocketAddress address = startNodeProcess(startServer(0).address(), OBJECTIVE_MILLIS);
    SlowResponse response = new SlowResponse(framing, 163_813, 54_604, 0, 850);
    LargeUpload upload =
        new LargeUpload(Framing.LENGTH, 3_000_000, 6_000_000, Integer.MAX_VALUE, 760);
    String path = response.path() + "&" + upload.parameter();
    for (int i = 0; i < 3; i++) {
      Map<String, String> headers =
          headers("t-" + i, "order", Integer.toString(upload.waitMillis()));
      try (Socket client = connect(address)) {
        upload.send(client.getOutputStream(), headers, path);
        String head = readFinalHead(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertArrayEquals(response.body(), response.readBody(head, client.getInputStream()));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 8_192})
  void aFinalAnswerIsInTimeThoughTheServerReadsALargeRequestSlowly(int receiveBufferBytes)
      throws Exception {
    InetSocketAddress address =
        startNodeProcess(startServer(receiveBufferBytes).address(), OBJECTIVE_MILLIS);
    List<LargeUpload> uploads = new ArrayList<>();
    for (Framing framing : new Framing[] {Framing.LENGTH, Framing.CHUNKED}) {
      for (int bytes : new int[] {100_000, 279_042, 785_488, 923_962, 3_000_000, 7_000_000}) {
        uploads.add(new LargeUpload(framing, bytes, 1_000_000, 17_189, 593));
        uploads.add(new LargeUpload(framing, bytes, 99_983, Integer.MAX_VALUE, 570));
        uploads.add(new LargeUpload(framing, bytes, 20_000, Integer.MAX_VALUE, 2_300));
      }
    }
    assertAll("in time", uploads, (upload, id) -> upload(address, upload, id));
  }
}
