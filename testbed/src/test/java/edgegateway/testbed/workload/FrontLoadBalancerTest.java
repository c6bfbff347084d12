package edgegateway.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FrontLoadBalancerTest {
  private static RequestArrival to(int first, int node) {
    return new RequestArrival(0, "r", 1, 0, 0, first, node, 1, 1);
  }

  @Test
  void aDeadNodeIsNoticedLateAndTakenInByItsHealth() {
    FrontLoadBalancer front = new FrontLoadBalancer(5, 100);
    assertFalse(front.needsHealthCheck(4));
    front.connectRefused(10, 4);
    front.connectRefused(90, 4);
    assertTrue(front.needsHealthCheck(4));
    assertEquals(4, front.pick(109, to(3, 4), 3));
    assertEquals(0, front.pick(110, to(3, 4), 3), "the next of its set, counted round");
    assertEquals(3, front.pick(110, to(3, 3), 3));
    front.connectRefused(200, 0);
    assertEquals(3, front.pick(300, to(3, 4), 3));
    front.connectRefused(200, 3);
    assertEquals(4, front.pick(300, to(3, 4), 3), "all are out");
    front.healthy(4);
    assertEquals(4, front.pick(300, to(3, 4), 3));
    assertFalse(front.needsHealthCheck(4));
  }
}
