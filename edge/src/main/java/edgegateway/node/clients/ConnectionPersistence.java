package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Decides whether a connection persists after the response to its current request, by the request's
 * HTTP version and headers, and sets the response's {@code Connection} header. Not thread-safe:
 * used on the event loop's thread only.
 */
final class ConnectionPersistence {
  private boolean keepAlive;
  private boolean http10;
  private boolean headMethod;
  private boolean closeAnnounced;

  /**
   * Records of a new request whether the client wants to keep the connection, whether the version
   * is HTTP/1.0 and whether the method is HEAD.
   */
  void requestReceived(HttpRequest request) {
    keepAlive = HttpUtil.isKeepAlive(request);
    http10 = !request.protocolVersion().isKeepAliveDefault();
    headMethod = request.method().equals(HttpMethod.HEAD);
  }

  /** Closes the connection after the response, whatever the request's headers say. */
  void closeAfterResponse() {
    keepAlive = false;
  }

  /**
   * Whether the request's version is HTTP/1.0, whose clients support neither chunked encoding nor
   * 1xx responses.
   */
  boolean isHttp10() {
    return http10;
  }

  /** Whether the request is a HEAD request, to which the response has no body. */
  boolean isHeadMethod() {
    return headMethod;
  }

  /**
   * Sets the {@code Connection} header of a response.
   *
   * @param last true if this is the last response on the connection; false if the connection can
   *     still accept requests
   */
  void announce(HttpHeaders headers, boolean last) {
    closeAnnounced = !keepAlive || last;
    if (closeAnnounced) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Whether the most recent response announced that the connection is closed after it. */
  boolean isCloseAnnounced() {
    return closeAnnounced;
  }
}
