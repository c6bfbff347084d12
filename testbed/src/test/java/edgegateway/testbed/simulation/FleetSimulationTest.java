package edgegateway.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.Scenario;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The program's module in fleets of twelve, over many seeds. */
class FleetSimulationTest {
  private static final int SEEDS = 12;

  private static RunResult play(String name, long seed) throws Exception {
    RunResult result =
        FleetSimulation.run(
            Scenario.read(Path.of("scenarios", name + ".yaml")).withSeed(seed), line -> {});
    assertEquals(List.of(), result.findings(), "seed " + seed);
    return result;
  }

  @Test
  void theSameSeedGivesTheSamePlay() throws Exception {
    RunResult first = play("zone-lost", 3);
    assertEquals(first, play("zone-lost", 3));
    assertTrue(first.goodput() < 1 && !first.equals(play("zone-lost", 4)));
  }

  @Test
  void aCalmDayIsServedAndALostZoneCostsLittle() throws Exception {
    for (long seed = 1; seed <= 3; seed++) {
      assertTrue(play("calm", seed).goodput() > 0.97, "seed " + seed);
      RunResult lost = play("zone-lost", seed);
      assertTrue(lost.goodput() > 0.92, "seed " + seed + ": " + lost.goodput());
      assertTrue(
          lost.seconds().get(7).attempts().getOrDefault("b", 0) == 0,
          "seed " + seed + ": " + lost.seconds().get(7));
    }
  }

  /**
   * Every server is cold, and every node knows nothing: service comes back as they warm, and none
   * is pushed over.
   */
  @Test
  void afterAPowerLossOfEverythingTheFleetComesBack() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RunResult result = play("power-loss", seed);
      assertEquals(0, result.fell(), "seed " + seed);
      assertTrue(
          result.recovery().toNineTenths() >= 0 && result.recovery().toNineTenths() <= 8,
          "seed " + seed + ": " + result.recovery());
      assertTrue(
          result.pressure() > 0 && result.pressure() < 0.9,
          "seed " + seed + ": " + result.pressure());
    }
  }

  /** The nodes stay and remember what warm servers took: that is no measure for cold ones. */
  @Test
  void whenAllServersStartAnewTheirNodesGoSlowly() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      RunResult result = play("servers-lost", seed);
      assertTrue(
          result.recovery().toNineTenths() >= 0 && result.recovery().toNineTenths() <= 9,
          "seed " + seed + ": " + result.recovery());
    }
  }

  /**
   * Twelve nodes agree over the counter: all leave a silent zone within three seconds of each
   * other, and all have it back.
   */
  @Test
  void aSilentZoneIsLeftAsAFleet() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<String> log = new ArrayList<>();
      RunResult result =
          FleetSimulation.run(
              Scenario.read(Path.of("scenarios", "zone-verdict.yaml")).withSeed(seed), log::add);
      assertEquals(List.of(), result.findings(), "seed " + seed);
      assertTrue(result.goodput() > 0.95, "seed " + seed + ": " + result.goodput());
      assertTrue(
          log.stream().filter(line -> line.contains("zone_ejected zone=b by=fleet")).count() >= 10,
          "seed " + seed + ": " + log);
      assertTrue(
          log.stream().filter(line -> line.contains("zone_returned zone=b")).count() >= 10,
          "seed " + seed + ": " + log);
      assertTrue(
          log.stream()
              .noneMatch(
                  line ->
                      line.contains("zone_ejected zone=a") || line.contains("zone_ejected zone=c")),
          "seed " + seed + ": " + log);
    }
  }

  /**
   * Troubles that cost little when all is done right; the judge looks at drains, ceilings and
   * answers in each.
   */
  @Test
  void theRulesHoldInEachTrouble() throws Exception {
    Map<String, Double> least =
        Map.of(
            "zone-by-hand",
            0.98,
            "rolling-restart",
            0.88,
            "stopped",
            0.9,
            "discovery-silent",
            0.97,
            "counter-lost",
            0.94,
            "counter-forgets",
            0.97,
            "zone-servers-failing",
            0.97,
            "zone-servers-slow",
            0.96,
            "zone-servers-silent",
            0.95,
            "half-killed",
            0.88);
    assertTrue(play("drains", 1).goodput() > 0.97);
    for (Map.Entry<String, Double> one : least.entrySet()) {
      for (long seed = 1; seed <= 3; seed++) {
        double goodput = play(one.getKey(), seed).goodput();
        assertTrue(goodput > one.getValue(), one.getKey() + " seed " + seed + ": " + goodput);
      }
    }
  }

  /**
   * No metastable state: the load is what it was, and so is goodput some seconds after the last
   * mend.
   */
  @Test
  void clientsThatComeAgainAtOnceDoNotKeepTheFleetDown() throws Exception {
    for (long seed = 1; seed <= 3; seed++) {
      RunResult storm = play("retry-storm", seed);
      assertTrue(storm.tries() > 1.05 * storm.asked(), "nobody came again: " + storm.tries());
      assertTrue(
          storm.recovery().toNineTenths() >= 0 && storm.recovery().toNineTenths() <= 6,
          "seed " + seed + ": " + storm.recovery());
      RunResult dark = play("retry-power-loss", seed);
      assertEquals(0, dark.fell(), "seed " + seed);
      assertTrue(
          dark.recovery().toNineTenths() >= 0 && dark.recovery().toNineTenths() <= 20,
          "seed " + seed + ": " + dark.recovery());
    }
  }

  @Test
  void powerThatFailsThreeTimesIsBorneAsOne() throws Exception {
    for (long seed = 1; seed <= 3; seed++) {
      RunResult result = play("power-flicker", seed);
      assertEquals(0, result.fell(), "seed " + seed);
      assertTrue(
          result.recovery().toNineTenths() >= 0 && result.recovery().toNineTenths() <= 8,
          "seed " + seed + ": " + result.recovery());
    }
  }
}
