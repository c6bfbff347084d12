package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.config.NodeConfigParser;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the parsing of request heads and the errors for invalid requests. */
class RequestParserTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private final FakeRequestHandler handler = new FakeRequestHandler();
  private final BufferedBodies bufferedBodies = new BufferedBodies(new ConnectionMetrics());
  private RequestParser parser;

  @BeforeEach
  void createParser() throws Exception {
    parser = new RequestParser(config(), handler);
  }

  private static NodeConfig config() throws Exception {
    return NodeConfigParser.parse(
        Files.readString(Path.of("src/test/resources/node.json"))
            .replace("DISCOVERY", "127.0.0.1:1")
            .replace("COUNTER", "127.0.0.1:2")
            .replace("MEMBERS", ""));
  }

  private static HttpRequest request(HttpMethod method, String uri, String requestClass) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri);
    request
        .headers()
        .set("X-Trace-Id", "t-1")
        .set("X-Qos", requestClass)
        .set("X-Plan", "bulk")
        .set("Cookie", "theme=dark; customer=000000000000002a")
        .set("X-Expires-In-Ms", "250")
        .set("X-Quota", "units=2.5, Spread=2, first=1");
    return request;
  }

  private static HttpRequest lookup() {
    return request(HttpMethod.GET, "/api?slot=4", "lookup");
  }

  private InFlightRequest parse(HttpRequest message, ByteBuf body) throws BadRequestException {
    return parser.parse(message, body, bufferedBodies.newBody(1), null, null, 0);
  }

  private void assertRejected(int status, String message, HttpRequest request) {
    BadRequestException rejected =
        assertThrows(BadRequestException.class, () -> parse(request, Unpooled.EMPTY_BUFFER));
    assertEquals(message, rejected.getMessage());
    assertEquals(status, rejected.status().code());
  }

  @Test
  void readsEveryHeaderOfARequest() throws Exception {
    handler.nowNanos = 7_000;
    HttpRequest message = lookup();
    message.headers().set("X-Second-Try", "1");
    InFlightRequest parsed = parse(message, Unpooled.EMPTY_BUFFER);
    assertEquals("t-1", parsed.request.id());
    assertEquals(0, parsed.request.requestClass());
    assertEquals(0, parsed.request.plan());
    assertEquals(42, parsed.request.customer());
    assertEquals(7_000 + 250 * NANOS_PER_MILLI, parsed.request.deadlineNanos());
    assertEquals(2.5, parsed.request.units());
    assertEquals(2, parsed.request.customerNodeCount());
    assertEquals(1, parsed.request.firstCustomerNode());
    assertTrue(parsed.request.clientRetry());
    assertEquals(HttpMethod.GET, parsed.method);
    assertEquals("/api?slot=4", parsed.uri);
    assertNull(parsed.idempotencyKey);
  }

  @Test
  void rejectsUnknownPathsAndWrongMethods() {
    assertRejected(404, "no such path", request(HttpMethod.GET, "/apis", "lookup"));
    assertRejected(405, "this class goes by GET", request(HttpMethod.POST, "/api", "lookup"));
    assertRejected(405, "this class goes by POST", request(HttpMethod.GET, "/api", "strict"));
  }

  @Test
  void rejectsAGetWithABody() {
    ByteBuf body = Unpooled.copiedBuffer(new byte[1]);
    BadRequestException rejected =
        assertThrows(BadRequestException.class, () -> parse(lookup(), body));
    assertEquals("a GET has no body", rejected.getMessage());
    assertEquals(1, body.refCnt(), "the caller keeps ownership of the body");
  }

  @Test
  void requiresAnIdempotencyKeyForKeyedRequestClasses() throws Exception {
    HttpRequest message = request(HttpMethod.POST, "/api", "order");
    assertRejected(400, "Idempotency-Key is missing", message);
    message.headers().set("Idempotency-Key", "k-1");
    assertEquals("k-1", parse(message, Unpooled.EMPTY_BUFFER).idempotencyKey);
  }

  @Test
  void errorsNameTheMissingRepeatedOrUnknownHeader() {
    for (String name :
        new String[] {"X-Trace-Id", "X-Qos", "X-Plan", "Cookie", "X-Expires-In-Ms", "X-Quota"}) {
      HttpRequest missing = lookup();
      missing.headers().remove(name);
      assertRejected(400, name + " is missing", missing);
      HttpRequest repeated = lookup();
      repeated.headers().add(name, repeated.headers().get(name));
      assertRejected(400, name + " comes twice", repeated);
    }
    assertRejected(400, "X-Qos is unknown", request(HttpMethod.GET, "/api", "nothing"));
  }

  @Test
  void rejectsInvalidHeaderValues() {
    assertRejectedValue("X-Trace-Id", "t".repeat(129), "X-Trace-Id is too long");
    assertRejectedValue(
        "X-Expires-In-Ms", "0", "X-Expires-In-Ms is not a whole number from 1 to 3600000");
    assertRejectedValue(
        "X-Expires-In-Ms", "1.5", "X-Expires-In-Ms is not a whole number from 1 to 3600000");
    assertRejectedValue(
        "X-Quota", "units=0,spread=1,first=0", "X-Quota units is not a number above 0");
    assertRejectedValue(
        "X-Quota", "units=NaN,spread=1,first=0", "X-Quota units is not a number above 0");
    assertRejectedValue(
        "X-Quota", "units=1,spread=3,first=0", "X-Quota spread is not a whole number from 1 to 2");
    assertRejectedValue(
        "X-Quota", "units=1,spread=1", "X-Quota first is not a whole number from 0 to 1");
    assertRejectedValue("Cookie", "customer=00000002000000000", "the cookie names no customer");
    assertRejectedValue("Cookie", "customer=0000000200000000", "the cookie names no customer");
    assertRejectedValue("Cookie", "customer=zzzzzzzzzzzzzzzz", "the cookie names no customer");
  }

  private void assertRejectedValue(String header, String value, String message) {
    HttpRequest request = lookup();
    request.headers().set(header, value);
    assertRejected(400, message, request);
  }

  @Test
  void readsTheCustomerOfAnOtherwiseInvalidRequest() {
    HttpRequest message = request(HttpMethod.GET, "/nowhere", "nothing");
    assertEquals(42, parser.customerOrUnknown(message));
    message.headers().remove("Cookie");
    assertEquals(BufferedBodies.UNKNOWN_CUSTOMER, parser.customerOrUnknown(message));
  }
}
