package edgegateway.node.counter;

import io.netty.handler.codec.http.HttpResponse;
import java.math.BigDecimal;
import java.util.regex.Pattern;

/** Constants and formats of the counter service's protocol, pipelined HTTP/1.1. */
final class CounterProtocol {
  static final String HOST = "counter";

  /** Maximum length of a response body; any total is shorter. */
  static final int MAX_RESPONSE_BYTES = 1024;

  private static final String PATH = "/tally/";
  private static final String AMOUNT_PARAMETER = "?n=";
  private static final String LIFETIME_PARAMETER = "&keep_ms=";
  private static final Pattern TOTAL = Pattern.compile("-?\\d+(\\.\\d+)?([eE][-+]?\\d{1,2})?");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int SERVICE_UNAVAILABLE = 503;

  private CounterProtocol() {}

  /**
   * The URI of a call that adds an amount. The lifetime is rounded up to whole milliseconds and is
   * at least 1 ms.
   */
  static String uri(long counterName, double amount, long lifetimeNanos) {
    long lifetimeMillis = Math.max(1, (lifetimeNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
    return PATH
        + Long.toUnsignedString(counterName)
        + AMOUNT_PARAMETER
        + BigDecimal.valueOf(amount).toPlainString()
        + LIFETIME_PARAMETER
        + lifetimeMillis;
  }

  /** Whether this is an informational (1xx) response, which a final response follows. */
  static boolean isInformational(HttpResponse response) {
    int status = response.status().code();
    return status >= 100 && status < 200;
  }

  /** Whether the counter service rejected the call, so that nothing was added. */
  static boolean isRejection(HttpResponse response) {
    int status = response.status().code();
    return status == SERVICE_UNAVAILABLE || status == BAD_REQUEST || status == NOT_FOUND;
  }

  /** Whether the response has a total that {@link Double#parseDouble} can parse. */
  static boolean hasTotal(HttpResponse response, String body) {
    return response.status().code() == OK && TOTAL.matcher(body).matches();
  }
}
