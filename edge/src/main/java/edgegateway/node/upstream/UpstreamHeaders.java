package edgegateway.node.upstream;

import io.netty.util.AsciiString;

/** Headers between a node and the archive servers, beside those of HTTP. */
final class UpstreamHeaders {
  static final String HOST_VALUE = "app.svc";

  static final CharSequence TRACE_ID = AsciiString.cached("X-Trace-Id");

  /** Milliseconds that the attempt's response has. */
  static final CharSequence EXPIRES_IN_MILLIS = AsciiString.cached("X-Expires-In-Ms");

  static final CharSequence IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

  /** {@link #TRUE} in a 503 or 504 if the archive server did not execute the request. */
  static final CharSequence NEVER_RAN = AsciiString.cached("X-Never-Ran");

  /** Quota units that the request used. */
  static final CharSequence UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  static final String TRUE = "1";

  private UpstreamHeaders() {}
}
