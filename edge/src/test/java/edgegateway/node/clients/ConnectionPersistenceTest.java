package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Tests the {@code Connection} header of responses. */
class ConnectionPersistenceTest {
  private final ConnectionPersistence persistence = new ConnectionPersistence();

  /**
   * Returns the {@code Connection} header of the response to a request with the given version and
   * {@code Connection} header; null if the response has none.
   */
  private String responseHeader(HttpVersion version, String requestHeader, boolean last) {
    HttpRequest request = new DefaultHttpRequest(version, HttpMethod.GET, "/api");
    if (requestHeader != null) {
      request.headers().set(HttpHeaderNames.CONNECTION, requestHeader);
    }
    persistence.requestReceived(request);
    HttpHeaders headers = new DefaultHttpHeaders();
    persistence.announce(headers, last);
    String responseHeader = headers.get(HttpHeaderNames.CONNECTION);
    assertEquals("close".equals(responseHeader), persistence.isCloseAnnounced());
    return responseHeader;
  }

  @Test
  void http11PersistsUnlessTheClientOrTheServerCloses() {
    assertNull(responseHeader(HttpVersion.HTTP_1_1, null, false));
    assertEquals("close", responseHeader(HttpVersion.HTTP_1_1, "close", false));
    assertEquals("close", responseHeader(HttpVersion.HTTP_1_1, null, true));
  }

  @Test
  void http10PersistsOnlyIfTheClientAsksAndTheServerAccepts() {
    assertEquals("close", responseHeader(HttpVersion.HTTP_1_0, null, false));
    assertEquals("keep-alive", responseHeader(HttpVersion.HTTP_1_0, "keep-alive", false));
    assertTrue(persistence.isHttp10());
    assertEquals("close", responseHeader(HttpVersion.HTTP_1_0, "keep-alive", true));
  }

  @Test
  void closeAfterResponseIsAnnounced() {
    responseHeader(HttpVersion.HTTP_1_1, null, false);
    persistence.closeAfterResponse();
    HttpHeaders headers = new DefaultHttpHeaders();
    persistence.announce(headers, false);
    assertEquals("close", headers.get(HttpHeaderNames.CONNECTION));
  }
}
