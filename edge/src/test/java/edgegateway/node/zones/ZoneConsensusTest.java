package edgegateway.node.zones;

import static edgegateway.node.zones.FakeZoneFleet.BEGIN;
import static edgegateway.node.zones.FakeZoneFleet.MS;
import static edgegateway.node.zones.FakeZoneFleet.RAMP;
import static edgegateway.node.zones.FakeZoneFleet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.zones.ZoneEjectionSettings.DecisionMode;
import edgegateway.node.zones.ZoneEjectionState.DecidedBy;
import edgegateway.node.zones.ZoneEjectionState.State;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.TrafficRamp;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole fleets on a given clock, over many seeds; a failure names its seed. */
class ZoneConsensusTest {
  private static final int SEEDS = 30;
  private static final int A = 0;
  private static final int B = 1;
  private static final int C = 2;

  private static void seeds(LongConsumer play) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        play.accept(seed);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  private static FakeZoneFleet fleet(int size, long seed) {
    FakeZoneFleet fleet = new FakeZoneFleet(size, seed, DecisionMode.COUNTER);
    fleet.run(10 * SECOND);
    return fleet;
  }

  private static void fail(FakeZoneFleet fleet, int zone) {
    fleet.health = (node, other) -> other == zone ? 1 : 0.01;
  }

  private static void mend(FakeZoneFleet fleet) {
    fleet.health = (node, zone) -> 0.01;
  }

  /** No node ever has more zones ejected than the settings allow. */
  private static void bounded(FakeZoneFleet fleet) {
    for (FakeZoneFleet.Node node : fleet.nodes) {
      long away = 0;
      for (int zone = 0; zone < FakeZoneFleet.ZONES.size(); zone++) {
        State state = node.state(zone);
        away += state == State.IN || state == State.SUSPECT ? 0 : 1;
      }
      assertTrue(away <= 1, "node " + node.index + " has " + away + " zones away: " + node.log);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12, 100})
  void aLostZoneIsEjectedByAllWithinThreeSecondsAndReturns(int size) {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(size, seed);
          assertTrue(fleet.voteCalls <= 1 + size, "calls on a calm day: " + fleet.voteCalls);
          fail(fleet, B);
          fleet.run(3 * SECOND, () -> bounded(fleet));
          assertEquals(
              size,
              fleet.in(B, State.OUT) + fleet.in(B, State.LEAVING),
              "left: " + fleet.nodes.get(0).log);
          assertTrue(
              fleet.decidedBy(B, DecidedBy.FLEET) > size * 0.9,
              "by the fleet: " + fleet.decidedBy(B, DecidedBy.FLEET));
          fleet.run(10 * SECOND, () -> bounded(fleet));
          assertEquals(
              size,
              fleet.in(B, State.OUT),
              "it came back though it is bad: " + fleet.nodes.get(0).log);
          mend(fleet);
          double[] first = {Double.NaN};
          fleet.run(
              30 * SECOND,
              () -> {
                double part = fleet.trafficFraction(B);
                if (part > 0 && Double.isNaN(first[0])) {
                  first[0] = fleet.now;
                }
                // The ramp from the moment at which the first node began it bounds what all send
                // together.
                double grown =
                    (fleet.now - first[0] + ZoneEjectionController.TICK_INTERVAL_NANOS) / RAMP;
                assertTrue(
                    part <= (Double.isNaN(first[0]) ? 0 : BEGIN + (1 - BEGIN) * grown) + 0.01,
                    "part " + part + " too early");
              });
          assertEquals(size, fleet.inUse(B), "not back: " + fleet.nodes.get(0).log);
          assertEquals(0, fleet.in(A, State.OUT) + fleet.in(C, State.OUT));
        });
  }

  @Test
  void nodesThatDecideAloneEjectLaterAndReturnByThemselves() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = new FakeZoneFleet(12, seed, DecisionMode.ALONE);
          fleet.run(5 * SECOND);
          fail(fleet, B);
          fleet.run(2 * SECOND);
          assertEquals(12, fleet.in(B, State.SUSPECT) + fleet.in(B, State.IN), "left too early");
          fleet.run(6 * SECOND, () -> bounded(fleet));
          assertTrue(fleet.in(B, State.OUT) >= 11, "left: " + fleet.in(B, State.OUT));
          assertEquals(0, fleet.voteCalls);
          mend(fleet);
          fleet.run(30 * SECOND);
          assertEquals(12, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  /**
   * A counter that does not answer: each node decides by itself, more slowly; when it answers
   * again, the fleet does.
   */
  @Test
  void withoutACounterEachNodeDecidesByItself() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.counterDown = true;
          fail(fleet, B);
          fleet.run(8 * SECOND);
          assertTrue(
              fleet.decidedBy(B, DecidedBy.ALONE) >= 11,
              "alone: " + fleet.decidedBy(B, DecidedBy.ALONE));
          fleet.counterDown = false;
          mend(fleet);
          fleet.run(30 * SECOND);
          assertEquals(12, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  @Test
  void lostCallsAndAnswersOnlyDelay() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(30, seed);
          fleet.callLoss = 0.3;
          fail(fleet, B);
          fleet.run(9 * SECOND, () -> bounded(fleet));
          assertEquals(
              30,
              fleet.in(B, State.OUT) + fleet.in(B, State.LEAVING),
              fleet.nodes.get(0).log.toString());
          mend(fleet);
          fleet.run(45 * SECOND);
          assertEquals(30, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  /**
   * The counter loses its totals ten times a second: no decision of the fleet, and nothing worse
   * than each node's own.
   */
  @Test
  void aTotalThatIsFlushedAgainAndAgainOnlyDelays() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fail(fleet, B);
          fleet.run(8 * SECOND, fleet.totals::clear);
          assertEquals(12, fleet.in(B, State.OUT), fleet.nodes.get(0).log.toString());
          assertTrue(
              fleet.decidedBy(B, DecidedBy.ALONE) >= 6,
              "alone: " + fleet.decidedBy(B, DecidedBy.ALONE));
        });
  }

  /**
   * The network is cut, not the zone: nodes that are cut off eject it by themselves, others not.
   */
  @Test
  void aZoneCutFromHalfOfTheNodesIsNotEjectedByTheFleet() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.health = (node, zone) -> zone == B && node < 6 ? 1 : 0.01;
          fleet.run(12 * SECOND, () -> assertEquals(0, fleet.decidedBy(B, DecidedBy.FLEET)));
          for (FakeZoneFleet.Node node : fleet.nodes) {
            assertEquals(node.index < 6, node.state(B) == State.OUT, node.index + ": " + node.log);
          }
          mend(fleet);
          fleet.run(30 * SECOND);
          assertEquals(12, fleet.inUse(B));
        });
  }

  @Test
  void aNodeThatReachesNoZoneSuspectsNone() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.health = (node, zone) -> node == 0 ? 1 : 0.01;
          fleet.run(10 * SECOND);
          assertEquals(0, fleet.nodes.get(0).consensus.voteCalls() / 20, "it asks and asks");
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(12, fleet.inUse(zone));
          }
        });
  }

  /**
   * Overload: some attempts fail in all zones; and two of three zones are never ejected, whatever
   * the evidence.
   */
  @Test
  void overloadEjectsNoZoneAndTwoOfThreeZonesAreNeverEjected() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.health = (node, zone) -> 0.6;
          fleet.run(8 * SECOND);
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(0, fleet.in(zone, State.OUT));
          }
          mend(fleet);
          fleet.run(10 * SECOND);
          fleet.health = (node, zone) -> zone == A ? 0.01 : 1;
          fleet.run(10 * SECOND, () -> bounded(fleet));
          assertTrue(fleet.in(B, State.OUT) + fleet.in(C, State.OUT) <= 12);
        });
  }

  /**
   * A tenth of the nodes vote against a healthy zone, twice each, all the time; then one of them
   * adds a thousand votes.
   */
  @Test
  void falseVotesOfATenthEjectNoZone() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(100, seed);
          for (int i = 0; i < 10; i++) {
            fleet.nodes.get(i * 7).alwaysSuspects = true;
            fleet.nodes.get(i * 7).votesPerCast = 2;
          }
          fleet.run(12 * SECOND);
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(0, fleet.decidedBy(zone, DecidedBy.FLEET));
            assertTrue(fleet.in(zone, State.OUT) <= 10, "only by the liars themselves");
          }
          fleet.nodes.get(0).votesPerCast = 1_000;
          fleet.run(12 * SECOND);
          assertEquals(
              0,
              fleet.decidedBy(A, DecidedBy.FLEET)
                  + fleet.decidedBy(B, DecidedBy.FLEET)
                  + fleet.decidedBy(C, DecidedBy.FLEET),
              "more votes than nodes");
        });
  }

  /**
   * Clocks wrong by ten windows: their votes have other keys; the majority with right clocks
   * decides.
   */
  @Test
  void nodesWithAWrongClockAreOutvoted() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = new FakeZoneFleet(12, seed, DecisionMode.COUNTER);
          for (int i = 0; i < 4; i++) {
            fleet.nodes.get(i).clockOffsetNanos = -40 * SECOND;
            fleet.nodes.get(i).start();
          }
          fleet.run(10 * SECOND);
          fail(fleet, B);
          fleet.run(9 * SECOND);
          assertEquals(8, fleet.decidedBy(B, DecidedBy.FLEET), "the eight with a right clock");
          assertEquals(12, fleet.in(B, State.OUT), "the four by themselves");
        });
  }

  /** A node votes once in a window, however often it is restarted in it. */
  @Test
  void aRestartGivesNoSecondVote() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.health = (node, zone) -> zone == B && node < 4 ? 1 : 0.01;
          fleet.run(
              3_900 * MS,
              () ->
                  fleet.nodes.stream()
                      .filter(node -> node.index < 4 && fleet.now / (500 * MS) % 2 == 0)
                      .forEach(FakeZoneFleet.Node::start));
          assertTrue(
              fleet.totals.values().stream().allMatch(total -> total <= 4),
              "votes: " + fleet.totals);
        });
  }

  /** It fails whenever it is back: each time it is ejected for longer, and the others never are. */
  @Test
  void aZoneThatRelapsesIsEjectedForLongerEachTime() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          // Trials pass, load does not.
          fleet.health = (node, zone) -> zone == B && fleet.trafficFraction(B) > 0.1 ? 1 : 0.01;
          fleet.run(120 * SECOND, () -> bounded(fleet));
          List<Long> left =
              fleet.nodes.get(0).log.stream()
                  .filter(
                      line ->
                          line.contains(" zone_ejected ") || line.contains(" zone_return_aborted "))
                  .map(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                  .toList();
          assertTrue(left.size() >= 4, left.toString());
          assertTrue(
              left.get(left.size() - 1) - left.get(left.size() - 2)
                  > 2 * (left.get(1) - left.get(0)),
              left.toString());
        });
  }

  /**
   * Half of the nodes restart during the ramp: they use all zones of the list, and the others' ramp
   * goes on.
   */
  @Test
  void halfOfTheNodesRestartDuringTheRampAndTheCounterIsLost() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fail(fleet, B);
          fleet.run(5 * SECOND);
          mend(fleet);
          while (fleet.in(B, State.RETURNING) < 12) {
            fleet.run(100 * MS);
            assertTrue(
                fleet.now < 1_100 * SECOND, "it does not come back: " + fleet.nodes.get(0).log);
          }
          fleet.counterDown = true;
          fleet.nodes.stream()
              .filter(node -> node.index % 2 == 0)
              .forEach(FakeZoneFleet.Node::start);
          fleet.run(RAMP + SECOND);
          assertEquals(12, fleet.inUse(B));
        });
  }

  @Test
  void halfOpenAttemptsAreFew() {
    seeds(
        seed -> {
          FakeZoneFleet fleet = fleet(100, seed);
          fail(fleet, B);
          fleet.run(5 * SECOND);
          long before = fleet.probes;
          long sent = fleet.sent[B];
          fleet.run(20 * SECOND);
          long trials = fleet.probes - before;
          assertTrue(
              trials > 0 && trials <= 6 * 24, "trials of a hundred nodes in 20 s: " + trials);
          assertTrue(
              fleet.sent[B] - sent <= trials + 1,
              "more than trials went there: " + (fleet.sent[B] - sent));
        });
  }

  @Test
  void keysOfVotesAreUniqueAndNotThoseOfQuotas() {
    Set<Long> names = new HashSet<>();
    CounterVoteTransport ballots =
        new CounterVoteTransport(
            (name, amount, lifetime) -> {}, List.of("a", "b"), ZoneConsensus.VOTE_WINDOW_NANOS);
    CounterVoteTransport same =
        new CounterVoteTransport(
            (name, amount, lifetime) -> {}, List.of("a", "b"), ZoneConsensus.VOTE_WINDOW_NANOS);
    for (int zone = 0; zone < 2; zone++) {
      for (ZoneVote.Question question : ZoneVote.Question.values()) {
        for (long window = 100; window < 200; window++) {
          ZoneVote ballot = new ZoneVote(zone, question, window);
          assertTrue(
              CounterVoteTransport.ownsKey(ballots.key(ballot)) && names.add(ballots.key(ballot)));
          assertEquals(ballots.key(ballot), same.key(ballot));
        }
      }
    }
    assertFalse(CounterVoteTransport.ownsKey(0) || CounterVoteTransport.ownsKey(Long.MAX_VALUE));
  }

  /**
   * Over the whole ramp a zone's traffic stays below what overloads endpoints that all restarted
   * when it began, unknown to the nodes.
   */
  @Test
  void theSlowStartRampOverloadsNoEndpointsThatRestartedUnknown() {
    for (double from = 0.05; from < 1; from += 0.05) {
      for (double times = 1.1; times < 4; times += 0.3) {
        PlatformRules rules = new PlatformRules(0, from, 17 * SECOND, times, SECOND);
        TrafficRamp course =
            new TrafficRamp(
                from, 1, 0, Math.max(1, ZoneEjectionController.slowStartRampNanos(rules)));
        for (long at = 0; at < 17 * SECOND; at += 100 * MS) {
          double able = from + (1 - from) * Math.min(1, at / (17.0 * SECOND));
          assertTrue(
              course.fractionAt(at) <= Math.max(able, times * able) + 1e-6,
              from + " " + times + " at " + at + ": " + course.fractionAt(at));
        }
      }
    }
  }
}
