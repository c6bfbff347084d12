package edgegateway.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FrontLoadBalancerTest {
  private static RequestArrival arrivalFor(int first, int node) {
    return new RequestArrival(0, "r", 1, 0, 0, first, node, 1, 1);
  }

  @Test
  void deadNodeIsRemovedAfterTheDetectionDelayAndReturnsWhenHealthy() {
    FrontLoadBalancer front = new FrontLoadBalancer(5, 100);
    assertFalse(front.needsHealthCheck(4));
    front.connectFailed(10, 4);
    front.connectFailed(90, 4);
    assertTrue(front.needsHealthCheck(4));
    assertEquals(4, front.pick(109, arrivalFor(3, 4), 3));
    assertEquals(
        0, front.pick(110, arrivalFor(3, 4), 3), "the next node of the set, wrapping around");
    assertEquals(3, front.pick(110, arrivalFor(3, 3), 3));
    front.connectFailed(200, 0);
    assertEquals(3, front.pick(300, arrivalFor(3, 4), 3));
    front.connectFailed(200, 3);
    assertEquals(4, front.pick(300, arrivalFor(3, 4), 3), "all nodes of the set are removed");
    front.markHealthy(4);
    assertEquals(4, front.pick(300, arrivalFor(3, 4), 3));
    assertFalse(front.needsHealthCheck(4));
  }
}
