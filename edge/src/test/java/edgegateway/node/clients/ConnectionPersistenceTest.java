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

/** What a response says about its connection. */
class ConnectionPersistenceTest {
  private final ConnectionPersistence persistence = new ConnectionPersistence();

  /** Its {@code Connection} header, after a request of this version and this header. */
  private String announced(HttpVersion version, String requested, boolean last) {
    HttpRequest request = new DefaultHttpRequest(version, HttpMethod.GET, "/api");
    if (requested != null) {
      request.headers().set(HttpHeaderNames.CONNECTION, requested);
    }
    persistence.requestReceived(request);
    HttpHeaders headers = new DefaultHttpHeaders();
    persistence.announce(headers, last);
    String announced = headers.get(HttpHeaderNames.CONNECTION);
    assertEquals("close".equals(announced), persistence.isCloseAnnounced());
    return announced;
  }

  @Test
  void http11PersistsUnlessOneSideEndsIt() {
    assertNull(announced(HttpVersion.HTTP_1_1, null, false));
    assertEquals("close", announced(HttpVersion.HTTP_1_1, "close", false));
    assertEquals("close", announced(HttpVersion.HTTP_1_1, null, true));
  }

  @Test
  void http10PersistsOnlyIfBothSidesSaySo() {
    assertEquals("close", announced(HttpVersion.HTTP_1_0, null, false));
    assertEquals("keep-alive", announced(HttpVersion.HTTP_1_0, "keep-alive", false));
    assertTrue(persistence.isHttp10());
    assertEquals("close", announced(HttpVersion.HTTP_1_0, "keep-alive", true));
  }

  @Test
  void aResponseThatEndsTheConnectionSaysSo() {
    announced(HttpVersion.HTTP_1_1, null, false);
    persistence.closeAfterResponse();
    HttpHeaders headers = new DefaultHttpHeaders();
    persistence.announce(headers, false);
    assertEquals("close", headers.get(HttpHeaderNames.CONNECTION));
  }
}
