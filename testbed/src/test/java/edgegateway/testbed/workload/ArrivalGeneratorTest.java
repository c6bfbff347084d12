package edgegateway.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Tests the arrivals drawn for 12 edge nodes in 30 s. The arguments of each {@link CustomerPlan}
 * are its name, number of customers, rate in requests per second, burst in units, price factor,
 * ceiling factor (0 for none), use as a fraction of the rate, and spread in nodes.
 */
class ArrivalGeneratorTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Digest of the arrivals of seed 7; the same on every machine, JVM, locale and day. */
  private static final String SEED_7_DIGEST =
      "6bffbf9519fb25b1ec9f513b4f0482fcb7c8a4d71f84ab95f2cf133c15403519";

  private static final WorkloadClass SEARCH =
      new WorkloadClass("search", 0.63, false, 2 * NANOS_PER_SECOND, 6 * NANOS_PER_SECOND, 2e8, 1);
  private static final WorkloadClass LICENSE =
      new WorkloadClass("license", 0.37, true, 2 * NANOS_PER_SECOND, 6 * NANOS_PER_SECOND, 3e8, 1);

  private static ArrivalGenerator.Settings settings(double skew, CustomerPlan... plans) {
    return new ArrivalGenerator.Settings(
        30 * NANOS_PER_SECOND,
        12,
        List.of(SEARCH, LICENSE),
        List.of(plans),
        10 * NANOS_PER_SECOND,
        skew);
  }

  @Test
  void sameSeedDrawsTheSameArrivalsAndAnotherSeedDrawsDifferentOnes() {
    ArrivalGenerator.Settings settings =
        settings(
            1,
            new CustomerPlan("basico", 40, 1, 20, 1, 0, 0.5, 3),
            new CustomerPlan("editorial", 10, 8, 20, 1, 0, 0.9, 4));
    List<RequestArrival> first = ArrivalGenerator.draw(settings, 7);
    assertEquals(first, ArrivalGenerator.draw(settings, 7));
    assertEquals(SEED_7_DIGEST, ArrivalGenerator.digest(first));
    assertNotEquals(SEED_7_DIGEST, ArrivalGenerator.digest(ArrivalGenerator.draw(settings, 8)));
  }

  @Test
  void arrivalsMatchTheSettings() {
    for (int seed = 0; seed < 20; seed++) {
      CustomerPlan basico = new CustomerPlan("basico", 50, 1, 20, 1, 0, 0.5, 3);
      CustomerPlan editorial = new CustomerPlan("editorial", 20, 8, 20, 1, 0, 0.9, 4);
      List<RequestArrival> arrivals = ArrivalGenerator.draw(settings(0, basico, editorial), seed);
      Set<String> ids = new HashSet<>();
      long previousAt = 0;
      for (RequestArrival arrival : arrivals) {
        assertTrue(
            ids.add(arrival.id())
                && arrival.at() >= previousAt
                && arrival.at() < 30 * NANOS_PER_SECOND,
            "seed " + seed);
        previousAt = arrival.at();
        int spread = arrival.plan() == 0 ? 3 : 4;
        assertTrue(
            Math.floorMod(arrival.node() - arrival.first(), 12) < spread,
            "seed " + seed + ": node outside the customer's set");
        assertTrue(
            arrival.deadline() >= 3 * NANOS_PER_SECOND
                && arrival.deadline() <= 6 * NANOS_PER_SECOND
                && arrival.work() > 0,
            "seed " + seed);
      }
      assertEquals(30 * (50 * 0.5 + 20 * 8 * 0.9), arrivals.size(), 300, "seed " + seed);
      assertEquals(
          0.63,
          arrivals.stream().filter(each -> each.requestClass() == 0).count()
              / (double) arrivals.size(),
          0.03);
      assertEquals(
          70, arrivals.stream().collect(Collectors.groupingBy(RequestArrival::customer)).size(), 2);
    }
  }

  @Test
  void busiestNodeChangesDuringTheRunAndZeroUsageGeneratesNoArrivals() {
    List<RequestArrival> arrivals =
        ArrivalGenerator.draw(settings(4, new CustomerPlan("big", 1, 200, 20, 1, 0, 1, 4)), 3);
    Set<Integer> busiest = new HashSet<>();
    for (long second = 0; second < 30; second++) {
      long from = second * NANOS_PER_SECOND;
      var byNode =
          arrivals.stream()
              .filter(arrival -> arrival.at() >= from && arrival.at() < from + NANOS_PER_SECOND)
              .collect(Collectors.groupingBy(RequestArrival::node, Collectors.counting()));
      busiest.add(
          byNode.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey());
    }
    assertTrue(busiest.size() > 1, "the same node was the busiest in every second");
    assertEquals(
        0,
        ArrivalGenerator.draw(settings(1, new CustomerPlan("idle", 9, 5, 20, 1, 0, 0, 2)), 1)
            .size());
  }

  @Test
  void outOfRangeSettingIsNamedInTheError() {
    assertTrue(
        assertThrows(
                IllegalArgumentException.class, () -> new CustomerPlan("p", 1, 0, 20, 1, 0, 1, 1))
            .getMessage()
            .contains("rate"));
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> new WorkloadClass("c", 1, false, 2 * NANOS_PER_SECOND, 0, 1, 1))
            .getMessage()
            .contains("deadline"));
  }
}
