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

  /** Takes over the version, method and headers of a new request. */
  void requestReceived(HttpRequest request) {
    keepAlive = HttpUtil.isKeepAlive(request);
    http10 = !request.protocolVersion().isKeepAliveDefault();
    headMethod = request.method().equals(HttpMethod.HEAD);
  }

  /** Closes the connection after the response, whatever the request's headers say. */
  void closeAfterResponse() {
    keepAlive = false;
  }

  /** Whether the client supports neither chunked encoding nor 1xx responses. */
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
   * @param last whether the connection accepts no further request
   */
  void announce(HttpHeaders headers, boolean last) {
    closeAnnounced = !keepAlive || last;
    if (closeAnnounced) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Whether the last response announced that the connection closes after it. */
  boolean isCloseAnnounced() {
    return closeAnnounced;
  }
}
