package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Whether a connection persists after the response to its present request, by the request's version
 * and headers, and what the response's head says about it. For the event loop's thread.
 */
final class ConnectionPersistence {
  private boolean keepAlive;
  private boolean http10;
  private boolean headMethod;
  private boolean closeAnnounced;

  /** A new request begins. */
  void requestReceived(HttpRequest request) {
    keepAlive = HttpUtil.isKeepAlive(request);
    http10 = !request.protocolVersion().isKeepAliveDefault();
    headMethod = request.method().equals(HttpMethod.HEAD);
  }

  /** The connection does not persist, whatever the request's headers say. */
  void closeAfterResponse() {
    keepAlive = false;
  }

  /** Whether the client knows neither chunks nor 1xx responses. */
  boolean isHttp10() {
    return http10;
  }

  /** Whether the response has no body, because of the request's method. */
  boolean isHeadMethod() {
    return headMethod;
  }

  /** Sets the {@code Connection} header; {@code last} if no further request is accepted. */
  void announce(HttpHeaders headers, boolean last) {
    closeAnnounced = !keepAlive || last;
    if (closeAnnounced) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (http10) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  /** Whether the response's head says that the connection closes behind it. */
  boolean isCloseAnnounced() {
    return closeAnnounced;
  }
}
