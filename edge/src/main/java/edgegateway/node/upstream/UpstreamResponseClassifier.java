package edgegateway.node.upstream;

import edgegateway.policy.api.Outcome;
import io.netty.handler.codec.http.HttpResponse;

/** What the head of an archive server's complete response says of the attempt. */
final class UpstreamResponseClassifier {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private UpstreamResponseClassifier() {}

  /** Whether a final response follows this one. */
  static boolean isInformational(HttpResponse response) {
    int status = response.status().code();
    return status >= 100 && status < 200;
  }

  /** Whether the request was executed; only then the response's body goes to the client. */
  static boolean isSuccess(HttpResponse response) {
    return response.status().code() == OK;
  }

  /** {@link Outcome#OK}, {@link Outcome#REJECTED} if it was not executed, else ERROR. */
  static Outcome outcome(HttpResponse response) {
    if (isSuccess(response)) {
      return Outcome.OK;
    }
    int status = response.status().code();
    boolean mayTellNeverRan = status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT;
    boolean neverRan =
        mayTellNeverRan
            && UpstreamHeaders.TRUE.equals(response.headers().get(UpstreamHeaders.NEVER_RAN));
    return neverRan ? Outcome.REJECTED : Outcome.ERROR;
  }

  /** The quota units charged; 0 if the response names no positive number. */
  static double actualUnits(HttpResponse response) {
    String charged = response.headers().get(UpstreamHeaders.UNITS_CHARGED);
    if (charged == null) {
      return 0;
    }
    try {
      double units = Double.parseDouble(charged);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
