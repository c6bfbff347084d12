package edgegateway.node.upstream;

import io.netty.util.AsciiString;

/** Headers that a node and the archive servers exchange in addition to those of HTTP. */
final class UpstreamHeaders {
  /** Value of the Host header of all requests. */
  static final String HOST_VALUE = "app.svc";

  static final CharSequence TRACE_ID = AsciiString.cached("X-Trace-Id");

  /** In a request: the remaining time of the attempt in milliseconds. */
  static final CharSequence EXPIRES_IN_MILLIS = AsciiString.cached("X-Expires-In-Ms");

  static final CharSequence IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

  /**
   * In a response with status 503 or 504: {@link #TRUE} if the archive server did not execute the
   * request.
   */
  static final CharSequence NEVER_RAN = AsciiString.cached("X-Never-Ran");

  /** In a response: the quota units that the request used. */
  static final CharSequence UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  static final String TRUE = "1";

  private UpstreamHeaders() {}
}
