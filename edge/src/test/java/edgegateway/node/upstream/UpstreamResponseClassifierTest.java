package edgegateway.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.Outcome;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpstreamResponseClassifierTest {
  private static HttpResponse response(int status) {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
  }

  private static Outcome outcome(int status, String neverRan) {
    HttpResponse response = response(status);
    response.headers().set("x-never-ran", neverRan);
    return UpstreamResponseClassifier.outcome(response);
  }

  private static double units(String charged) {
    HttpResponse response = response(200);
    response.headers().set("x-units-charged", charged);
    return UpstreamResponseClassifier.actualUnits(response);
  }

  @Test
  void onlyStatus200IsASuccess() {
    assertEquals(Outcome.OK, UpstreamResponseClassifier.outcome(response(200)));
    for (int status : List.of(201, 204, 301, 400, 404, 500, 503, 504)) {
      assertEquals(Outcome.ERROR, UpstreamResponseClassifier.outcome(response(status)));
    }
  }

  @Test
  void theNeverRanHeaderCountsOnlyInA503Or504Response() {
    assertEquals(Outcome.REJECTED, outcome(503, "1"));
    assertEquals(Outcome.REJECTED, outcome(504, "1"));
    assertEquals(Outcome.ERROR, outcome(503, "0"));
    assertEquals(Outcome.ERROR, outcome(500, "1"));
    assertEquals(Outcome.OK, outcome(200, "1"));
  }

  @Test
  void chargedUnitsThatAreNotAPositiveFiniteNumberCountAsZero() {
    assertEquals(2.5, units("2.5"));
    for (String invalid : List.of("", "x", "-1", "0", "NaN", "Infinity")) {
      assertEquals(0, units(invalid), invalid);
    }
    assertEquals(0, UpstreamResponseClassifier.actualUnits(response(200)));
  }

  @Test
  void statuses100To199AreInformational() {
    assertTrue(UpstreamResponseClassifier.isInformational(response(100)));
    assertTrue(UpstreamResponseClassifier.isInformational(response(199)));
    assertFalse(UpstreamResponseClassifier.isInformational(response(200)));
  }
}
