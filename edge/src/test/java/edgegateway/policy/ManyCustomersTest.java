package edgegateway.policy;

import static edgegateway.policy.Host.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.QuotaPlan;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that requests under ever new customers take a limited amount of memory. */
class ManyCustomersTest {
  private static final int CEILING_UNITS = 5;
  private static final QuotaPlan CEILING_OF_FIVE =
      new QuotaPlan(0, 0, 0, 1, 0, 0, 1, CEILING_UNITS, 0);
  private static final int FLOOD = 50_000;
  private static final int MAX_CUSTOMERS = 8_192;
  private static final long REGULAR_CUSTOMER = 1;

  private final Host host = new Host(CEILING_OF_FIVE, 1, 0);

  @BeforeEach
  void fillCeilings() {
    host.updateEndpoint("s-1", 0, EndpointState.READY, 0);
    host.advance(2 * CEILING_UNITS * 1_000 * MS);
  }

  /** Whether a request of this customer is sent to an endpoint, which then answers it. */
  private boolean isServed(long customer, double units) {
    long deadlineNanos = host.nowNanos + 3_000 * MS;
    String id = host.request(Host.IDEMPOTENT, 0, customer, units, deadlineNanos);
    boolean sent = !host.attemptsOf(id).isEmpty();
    if (sent) {
      host.endAttempt(id, Outcome.OK);
    }
    return sent;
  }

  /** Reports requests of new customers that are rejected, as they exceed the ceiling. */
  private void flood() {
    for (int i = 0; i < FLOOD; i++) {
      long deadlineNanos = host.nowNanos + 3_000 * MS;
      host.request(Host.IDEMPOTENT, 0, 1_000 + i, CEILING_UNITS + 1, deadlineNanos);
    }
  }

  @Test
  void aLimitedNumberOfCustomersIsRemembered() {
    flood();
    int remembered = host.policy.exportState(host.nowNanos).quotaUsages().size();
    assertTrue(remembered <= MAX_CUSTOMERS, remembered + " customers");
  }

  @Test
  void aRegularCustomerIsRememberedAmongManyNewOnes() {
    assertTrue(isServed(REGULAR_CUSTOMER, 1));
    assertTrue(isServed(REGULAR_CUSTOMER, 1));
    flood();
    assertTrue(isServed(REGULAR_CUSTOMER, CEILING_UNITS - 2));
    assertEquals(false, isServed(REGULAR_CUSTOMER, 1), "beyond its ceiling");
  }

  @Test
  void aForgottenCustomerDoesNotGetItsCeilingAnew() {
    assertTrue(isServed(REGULAR_CUSTOMER, CEILING_UNITS));
    flood();
    assertEquals(false, isServed(REGULAR_CUSTOMER, 1));
    host.advance(1_100 * MS);
    assertTrue(isServed(REGULAR_CUSTOMER, 1), "what its ceiling gained since then");
    assertEquals(false, isServed(REGULAR_CUSTOMER, 1));
  }
}
