package edgegateway.node.upstream;

import edgegateway.policy.api.Outcome;
import io.netty.handler.codec.http.HttpResponse;

/** Reads the outcome of an attempt from the head of an archive server's response. */
final class UpstreamResponseClassifier {
  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private UpstreamResponseClassifier() {}

  /** Whether the response is informational (1xx), so that a final response follows. */
  static boolean isInformational(HttpResponse response) {
    int status = response.status().code();
    return status >= 100 && status < 200;
  }

  /**
   * Whether the request was executed successfully. Only the body of such a response is sent to the
   * client.
   */
  static boolean isSuccess(HttpResponse response) {
    return response.status().code() == OK;
  }

  /**
   * Returns {@link Outcome#OK} for a success, {@link Outcome#REJECTED} if the archive server
   * declares that it did not execute the request, otherwise {@link Outcome#ERROR}.
   */
  static Outcome outcome(HttpResponse response) {
    if (isSuccess(response)) {
      return Outcome.OK;
    }
    int status = response.status().code();
    boolean canDeclareNotExecuted = status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT;
    boolean notExecuted =
        canDeclareNotExecuted
            && UpstreamHeaders.TRUE.equals(response.headers().get(UpstreamHeaders.NEVER_RAN));
    return notExecuted ? Outcome.REJECTED : Outcome.ERROR;
  }

  /** Returns the charged quota units; 0 if the response does not name a positive finite number. */
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
