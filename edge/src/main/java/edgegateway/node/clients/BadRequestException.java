package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A message that is not a request this node accepts. Its message is the line that the client gets;
 * it has no stack trace.
 */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  BadRequestException(HttpResponseStatus status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** With status 400. */
  BadRequestException(String message) {
    this(HttpResponseStatus.BAD_REQUEST, message);
  }

  /** The status to answer with. */
  HttpResponseStatus status() {
    return status;
  }
}
