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

class ArrivalGeneratorTest {
  private static final long SECOND = 1_000_000_000L;
  private static final String DIGEST =
      "6bffbf9519fb25b1ec9f513b4f0482fcb7c8a4d71f84ab95f2cf133c15403519";
  private static final WorkloadClass SEARCH =
      new WorkloadClass("search", 0.63, false, 2 * SECOND, 6 * SECOND, 2e8, 1);
  private static final WorkloadClass LICENSE =
      new WorkloadClass("license", 0.37, true, 2 * SECOND, 6 * SECOND, 3e8, 1);

  private static ArrivalGenerator.Settings terms(double skew, CustomerPlan... plans) {
    return new ArrivalGenerator.Settings(
        30 * SECOND, 12, List.of(SEARCH, LICENSE), List.of(plans), 10 * SECOND, skew);
  }

  @Test
  void aSeedDrawsTheSameAndAnotherSeedOthers() {
    ArrivalGenerator.Settings terms =
        terms(
            1,
            new CustomerPlan("basico", 40, 1, 20, 1, 0, 0.5, 3),
            new CustomerPlan("editorial", 10, 8, 20, 1, 0, 0.9, 4));
    List<RequestArrival> first = ArrivalGenerator.draw(terms, 7);
    assertEquals(first, ArrivalGenerator.draw(terms, 7));
    // Known: a run on another machine, JVM, locale or day draws these.
    assertEquals(DIGEST, ArrivalGenerator.digest(first));
    assertNotEquals(DIGEST, ArrivalGenerator.digest(ArrivalGenerator.draw(terms, 8)));
  }

  @Test
  void whatIsDrawnKeepsToItsTerms() {
    for (int seed = 0; seed < 20; seed++) {
      CustomerPlan basico = new CustomerPlan("basico", 50, 1, 20, 1, 0, 0.5, 3);
      CustomerPlan editorial = new CustomerPlan("editorial", 20, 8, 20, 1, 0, 0.9, 4);
      List<RequestArrival> all = ArrivalGenerator.draw(terms(0, basico, editorial), seed);
      Set<String> ids = new HashSet<>();
      long before = 0;
      for (RequestArrival one : all) {
        assertTrue(
            ids.add(one.id()) && one.at() >= before && one.at() < 30 * SECOND, "seed " + seed);
        before = one.at();
        int spread = one.plan() == 0 ? 3 : 4;
        assertTrue(
            Math.floorMod(one.node() - one.first(), 12) < spread,
            "seed " + seed + ": outside its set");
        assertTrue(
            one.deadline() >= 3 * SECOND && one.deadline() <= 6 * SECOND && one.work() > 0,
            "seed " + seed);
      }
      assertEquals(30 * (50 * 0.5 + 20 * 8 * 0.9), all.size(), 300, "seed " + seed);
      assertEquals(
          0.63,
          all.stream().filter(one -> one.requestClass() == 0).count() / (double) all.size(),
          0.03);
      assertEquals(
          70, all.stream().collect(Collectors.groupingBy(RequestArrival::customer)).size(), 2);
    }
  }

  @Test
  void skewPutsMostOnOneNodeAndShiftsMoveIt() {
    List<RequestArrival> one =
        ArrivalGenerator.draw(terms(4, new CustomerPlan("big", 1, 200, 20, 1, 0, 1, 4)), 3);
    Set<Integer> busiest = new HashSet<>();
    for (long from = 0; from < 30; from++) {
      long at = from * SECOND;
      var byNode =
          one.stream()
              .filter(a -> a.at() >= at && a.at() < at + SECOND)
              .collect(Collectors.groupingBy(RequestArrival::node, Collectors.counting()));
      busiest.add(
          byNode.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey());
    }
    assertTrue(busiest.size() > 1, "the weights never change");
    assertEquals(
        0,
        ArrivalGenerator.draw(terms(1, new CustomerPlan("idle", 9, 5, 20, 1, 0, 0, 2)), 1).size());
  }

  @Test
  void termsOutOfRangeAreRefusedByName() {
    assertTrue(
        assertThrows(
                IllegalArgumentException.class, () -> new CustomerPlan("p", 1, 0, 20, 1, 0, 1, 1))
            .getMessage()
            .contains("rate"));
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> new WorkloadClass("c", 1, false, 2 * SECOND, 0, 1, 1))
            .getMessage()
            .contains("deadline"));
  }
}
