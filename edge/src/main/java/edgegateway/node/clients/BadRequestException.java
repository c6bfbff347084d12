package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown for an HTTP message that is not a valid request to this node. Its message is the body of
 * the response to the client. It has no stack trace.
 */
final class BadRequestException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient HttpResponseStatus status;

  BadRequestException(HttpResponseStatus status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /** Creates an exception with status 400. */
  BadRequestException(String message) {
    this(HttpResponseStatus.BAD_REQUEST, message);
  }

  /** The status of the response. */
  HttpResponseStatus status() {
    return status;
  }
}
