package edgegateway.node.clients;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Request;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Parses a client's request from its HTTP message. Not thread-safe: used on the event loop's thread
 * only.
 */
final class RequestParser {
  /** The path of the node's health check. */
  static final String HEALTH_PATH = "/_health";

  private static final String API_PATH = "/api";
  private static final String API_PATH_WITH_QUERY = API_PATH + "?";

  private static final String TRACE_ID = "X-Trace-Id";
  private static final String REQUEST_CLASS = "X-Qos";
  private static final String PLAN = "X-Plan";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String EXPIRES_IN_MILLIS = "X-Expires-In-Ms";
  private static final String QUOTA = "X-Quota";
  private static final String CLIENT_RETRY = "X-Second-Try";
  private static final String CLIENT_RETRY_VALUE = "1";
  private static final String COOKIE = "Cookie";
  private static final String CUSTOMER_COOKIE = "customer";

  private static final int MAX_TRACE_ID_LENGTH = 128;
  private static final int CUSTOMER_DIGITS = 16;
  private static final int CUSTOMER_RADIX = 16;
  private static final long MAX_CUSTOMER = 1L << 33;
  private static final long MAX_EXPIRES_IN_MILLIS = 3_600_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double MAX_UNITS = 1e6;

  private final NodeConfig config;
  private final ClientRequestHandler handler;

  RequestParser(NodeConfig config, ClientRequestHandler handler) {
    this.config = config;
    this.handler = handler;
  }

  /**
   * Parses a request. The arguments after {@code message} become part of the result.
   *
   * @param upload streams the rest of a long body; null if {@code body} is complete
   * @param clientWaitsNanos how long the client may have been waiting since it sent the message
   * @throws BadRequestException if the message is not a valid request; the caller then keeps
   *     ownership of {@code body} and {@code bufferedBytes}
   */
  InFlightRequest parse(
      HttpRequest message,
      ByteBuf body,
      BufferedBodies.Body bufferedBytes,
      InFlightRequest.BodyUpload upload,
      InFlightRequest.ResponseWriter responseWriter,
      long clientWaitsNanos)
      throws BadRequestException {
    String uri = message.uri();
    if (!uri.equals(API_PATH) && !uri.startsWith(API_PATH_WITH_QUERY)) {
      throw new BadRequestException(HttpResponseStatus.NOT_FOUND, "no such path");
    }
    HttpHeaders headers = message.headers();
    String traceId = traceId(headers);
    int requestClass = indexOfHeaderValue(config.names().requestClasses(), headers, REQUEST_CLASS);
    int plan = indexOfHeaderValue(config.names().quotaPlans(), headers, PLAN);
    Idempotency idempotency = config.settings().requestClasses().get(requestClass).idempotency();
    HttpMethod method = validMethod(message, idempotency, body);
    String idempotencyKey =
        idempotency == Idempotency.KEYED
            ? requiredHeader(headers, IDEMPOTENCY_KEY)
            : headers.get(IDEMPOTENCY_KEY);
    long clientTimeoutNanos = clientTimeoutNanos(headers);
    Map<String, String> quota = quotaParts(requiredHeader(headers, QUOTA));
    int nodeCount = config.settings().nodeCount();
    Request request =
        new Request(
            traceId,
            requestClass,
            plan,
            customer(headers),
            handler.policyDeadlineNanos(handler.nowNanos() - clientWaitsNanos, clientTimeoutNanos),
            units(quota.get("units")),
            (int) integerInRange(quota.get("spread"), "X-Quota spread", 1, nodeCount),
            (int) integerInRange(quota.get("first"), "X-Quota first", 0, nodeCount - 1L),
            CLIENT_RETRY_VALUE.equals(headers.get(CLIENT_RETRY)));
    return new InFlightRequest(
        request,
        method,
        uri,
        idempotencyKey,
        clientTimeoutNanos,
        body,
        bufferedBytes,
        upload,
        responseWriter);
  }

  /**
   * Returns the customer in the request's cookie, or {@link BufferedBodies#UNKNOWN_CUSTOMER} if it
   * cannot be read.
   */
  long customerOrUnknown(HttpRequest message) {
    try {
      return customer(message.headers());
    } catch (BadRequestException e) {
      return BufferedBodies.UNKNOWN_CUSTOMER;
    }
  }

  private static String traceId(HttpHeaders headers) throws BadRequestException {
    String traceId = requiredHeader(headers, TRACE_ID);
    if (traceId.length() > MAX_TRACE_ID_LENGTH) {
      throw new BadRequestException("X-Trace-Id is too long");
    }
    return traceId;
  }

  /** Returns the request's method after checking it against the one that its class requires. */
  private static HttpMethod validMethod(HttpRequest message, Idempotency idempotency, ByteBuf body)
      throws BadRequestException {
    HttpMethod method = idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
    if (!message.method().equals(method)) {
      throw new BadRequestException(
          HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
    }
    if (method.equals(HttpMethod.GET) && body.isReadable()) {
      throw new BadRequestException("a GET has no body");
    }
    return method;
  }

  private static long clientTimeoutNanos(HttpHeaders headers) throws BadRequestException {
    String text = requiredHeader(headers, EXPIRES_IN_MILLIS);
    long clientTimeoutMillis = integerInRange(text, EXPIRES_IN_MILLIS, 1, MAX_EXPIRES_IN_MILLIS);
    return clientTimeoutMillis * NANOS_PER_MILLI;
  }

  private static String requiredHeader(HttpHeaders headers, String name)
      throws BadRequestException {
    List<String> values = headers.getAll(name);
    if (values.size() != 1 || values.get(0).isBlank()) {
      throw new BadRequestException(name + (values.size() > 1 ? " comes twice" : " is missing"));
    }
    return values.get(0);
  }

  private static int indexOfHeaderValue(List<String> names, HttpHeaders headers, String header)
      throws BadRequestException {
    int index = names.indexOf(requiredHeader(headers, header));
    if (index < 0) {
      throw new BadRequestException(header + " is unknown");
    }
    return index;
  }

  private static long customer(HttpHeaders headers) throws BadRequestException {
    for (Cookie cookie : ServerCookieDecoder.LAX.decode(requiredHeader(headers, COOKIE))) {
      if (cookie.name().equals(CUSTOMER_COOKIE) && cookie.value().length() == CUSTOMER_DIGITS) {
        try {
          long customer = Long.parseUnsignedLong(cookie.value(), CUSTOMER_RADIX);
          if (customer >= 0 && customer < MAX_CUSTOMER) {
            return customer;
          }
        } catch (NumberFormatException e) {
          // A further cookie may contain the customer; otherwise the exception below is thrown.
        }
      }
    }
    throw new BadRequestException("the cookie names no customer");
  }

  private static Map<String, String> quotaParts(String text) {
    Map<String, String> parts = new HashMap<>();
    for (String part : text.split(",")) {
      String[] nameAndValue = part.trim().split("=", 2);
      String value = nameAndValue.length > 1 ? nameAndValue[1] : "";
      parts.put(nameAndValue[0].toLowerCase(Locale.ROOT), value);
    }
    return parts;
  }

  private static double units(String text) throws BadRequestException {
    try {
      double units = text == null ? 0 : Double.parseDouble(text);
      if (units > 0 && units <= MAX_UNITS) {
        return units;
      }
    } catch (NumberFormatException e) {
      // The exception below is thrown.
    }
    throw new BadRequestException("X-Quota units is not a number above 0");
  }

  private static long integerInRange(String text, String name, long min, long max)
      throws BadRequestException {
    try {
      long value = text == null ? min - 1 : Long.parseLong(text.trim());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // The exception below is thrown.
    }
    throw new BadRequestException(name + " is not a whole number from " + min + " to " + max);
  }
}
