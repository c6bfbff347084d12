package edgegateway.node.zones;

import static edgegateway.node.zones.FakeZoneFleet.INITIAL_FRACTION;
import static edgegateway.node.zones.FakeZoneFleet.MILLISECOND_NANOS;
import static edgegateway.node.zones.FakeZoneFleet.RETURN_RAMP_NANOS;
import static edgegateway.node.zones.FakeZoneFleet.SECOND_NANOS;
import static edgegateway.node.zones.ZoneEjectionController.TICK_INTERVAL_NANOS;
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

/**
 * Simulates complete fleets on a simulated clock, with many seeds. The message of a failure
 * contains its seed.
 */
class ZoneConsensusTest {
  private static final int SEED_COUNT = 30;
  private static final int A = 0;
  private static final int B = 1;
  private static final int C = 2;

  private static void forEachSeed(LongConsumer test) {
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      try {
        test.accept(seed);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /** Creates a fleet that votes and has run without failures for 10 s. */
  private static FakeZoneFleet fleet(int size, long seed) {
    FakeZoneFleet fleet = new FakeZoneFleet(size, seed, DecisionMode.COUNTER);
    fleet.run(10 * SECOND_NANOS);
    return fleet;
  }

  private static void failZone(FakeZoneFleet fleet, int zone) {
    fleet.failureModel = (node, other) -> other == zone ? 1 : 0.01;
  }

  private static void restoreHealth(FakeZoneFleet fleet) {
    fleet.failureModel = (node, zone) -> 0.01;
  }

  /** Checks that no node has more zones ejected than the settings allow. */
  private static void assertMaxOneZoneEjected(FakeZoneFleet fleet) {
    for (FakeZoneFleet.Node node : fleet.nodes) {
      long ejectedZones = 0;
      for (int zone = 0; zone < FakeZoneFleet.ZONES.size(); zone++) {
        State state = node.state(zone);
        ejectedZones += state == State.IN || state == State.SUSPECT ? 0 : 1;
      }
      assertTrue(
          ejectedZones <= 1,
          "node " + node.index + " has " + ejectedZones + " ejected zones: " + node.log);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 12, 100})
  void allNodesEjectAFailedZoneWithinThreeSecondsAndReadmitIt(int size) {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(size, seed);
          assertTrue(fleet.voteCalls <= 1 + size, "calls while healthy: " + fleet.voteCalls);
          failZone(fleet, B);
          fleet.run(3 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          assertEquals(
              size,
              fleet.countInState(B, State.OUT) + fleet.countInState(B, State.LEAVING),
              "nodes that ejected the failed zone; log of node 0: " + fleet.nodes.get(0).log);
          assertTrue(
              fleet.decidedBy(B, DecidedBy.FLEET) > size * 0.9,
              "followed the fleet: " + fleet.decidedBy(B, DecidedBy.FLEET));
          fleet.run(10 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          assertEquals(
              size, fleet.countInState(B, State.OUT), "readmitted: " + fleet.nodes.get(0).log);
          restoreHealth(fleet);
          double[] rampStartNanos = {Double.NaN};
          fleet.run(
              30 * SECOND_NANOS,
              () -> {
                double trafficFraction = fleet.trafficFraction(B);
                if (trafficFraction > 0 && Double.isNaN(rampStartNanos[0])) {
                  rampStartNanos[0] = fleet.nowNanos;
                }
                // The ramp of the first node that readmits the zone bounds the mean of all nodes.
                double rampProgress =
                    (fleet.nowNanos - rampStartNanos[0] + TICK_INTERVAL_NANOS) / RETURN_RAMP_NANOS;
                assertTrue(
                    trafficFraction
                        <= (Double.isNaN(rampStartNanos[0])
                                ? 0
                                : INITIAL_FRACTION + (1 - INITIAL_FRACTION) * rampProgress)
                            + 0.01,
                    "traffic fraction " + trafficFraction + " exceeds the ramp");
              });
          assertEquals(size, fleet.inUse(B), "not readmitted: " + fleet.nodes.get(0).log);
          assertEquals(0, fleet.countInState(A, State.OUT) + fleet.countInState(C, State.OUT));
        });
  }

  @Test
  void nodesInLocalModeEjectLaterAndReadmitOnTheirOwn() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = new FakeZoneFleet(12, seed, DecisionMode.ALONE);
          fleet.run(5 * SECOND_NANOS);
          failZone(fleet, B);
          fleet.run(2 * SECOND_NANOS);
          assertEquals(
              12,
              fleet.countInState(B, State.SUSPECT) + fleet.countInState(B, State.IN),
              "nodes that did not eject the zone yet");
          fleet.run(6 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          assertTrue(
              fleet.countInState(B, State.OUT) >= 11,
              "nodes that ejected the zone: " + fleet.countInState(B, State.OUT));
          assertEquals(0, fleet.voteCalls);
          restoreHealth(fleet);
          fleet.run(30 * SECOND_NANOS);
          assertEquals(12, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  /** Nodes decide later than the fleet would; the zone returns after the counter responds again. */
  @Test
  void nodesDecideOnTheirOwnIfTheCounterIsUnreachable() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.counterUnreachable = true;
          failZone(fleet, B);
          fleet.run(8 * SECOND_NANOS);
          assertTrue(
              fleet.decidedBy(B, DecidedBy.ALONE) >= 11,
              "alone: " + fleet.decidedBy(B, DecidedBy.ALONE));
          fleet.counterUnreachable = false;
          restoreHealth(fleet);
          fleet.run(30 * SECOND_NANOS);
          assertEquals(12, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  @Test
  void lostCallsAndAnswersOnlyDelayDecisions() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(30, seed);
          fleet.messageLossProbability = 0.3;
          failZone(fleet, B);
          fleet.run(9 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          assertEquals(
              30,
              fleet.countInState(B, State.OUT) + fleet.countInState(B, State.LEAVING),
              fleet.nodes.get(0).log.toString());
          restoreHealth(fleet);
          fleet.run(45 * SECOND_NANOS);
          assertEquals(30, fleet.inUse(B), fleet.nodes.get(0).log.toString());
        });
  }

  /**
   * The counter loses its totals ten times a second. This may prevent a decision of the fleet, but
   * not the nodes' own decisions.
   */
  @Test
  void nodesEjectOnTheirOwnIfTheCounterKeepsLosingTotals() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          failZone(fleet, B);
          fleet.run(8 * SECOND_NANOS, fleet.votesBySubject::clear);
          assertEquals(12, fleet.countInState(B, State.OUT), fleet.nodes.get(0).log.toString());
          assertTrue(
              fleet.decidedBy(B, DecidedBy.ALONE) >= 6,
              "alone: " + fleet.decidedBy(B, DecidedBy.ALONE));
        });
  }

  /** The network fails, not the zone: only the nodes that cannot reach the zone eject it. */
  @Test
  void fleetDoesNotEjectAZoneUnreachableFromHalfOfTheNodes() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.failureModel = (node, zone) -> zone == B && node < 6 ? 1 : 0.01;
          fleet.run(12 * SECOND_NANOS, () -> assertEquals(0, fleet.decidedBy(B, DecidedBy.FLEET)));
          for (FakeZoneFleet.Node node : fleet.nodes) {
            assertEquals(node.index < 6, node.state(B) == State.OUT, node.index + ": " + node.log);
          }
          restoreHealth(fleet);
          fleet.run(30 * SECOND_NANOS);
          assertEquals(12, fleet.inUse(B));
        });
  }

  @Test
  void aNodeThatReachesNoZoneEjectsNone() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.failureModel = (node, zone) -> node == 0 ? 1 : 0.01;
          fleet.run(10 * SECOND_NANOS);
          assertEquals(
              0, fleet.nodes.get(0).consensus.voteCalls() / 20, "vote calls, in units of 20");
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(12, fleet.inUse(zone));
          }
        });
  }

  /**
   * Overload makes attempts fail in all zones. Then two of three zones fail completely, which
   * exceeds the limit of ejected endpoints.
   */
  @Test
  void overloadEjectsNoZoneAndTwoOfThreeZonesAreNeverEjected() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.failureModel = (node, zone) -> 0.6;
          fleet.run(8 * SECOND_NANOS);
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(0, fleet.countInState(zone, State.OUT));
          }
          restoreHealth(fleet);
          fleet.run(10 * SECOND_NANOS);
          fleet.failureModel = (node, zone) -> zone == A ? 0.01 : 1;
          fleet.run(10 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          assertTrue(fleet.countInState(B, State.OUT) + fleet.countInState(C, State.OUT) <= 12);
        });
  }

  /**
   * A tenth of the nodes always vote against a healthy zone, and each vote adds 2 to the counter.
   * Then each vote of one of them adds 1,000.
   */
  @Test
  void falseVotesOfATenthOfTheNodesEjectNoZone() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(100, seed);
          for (int i = 0; i < 10; i++) {
            fleet.nodes.get(i * 7).alwaysSuspects = true;
            fleet.nodes.get(i * 7).votesPerCast = 2;
          }
          fleet.run(12 * SECOND_NANOS);
          for (int zone = 0; zone < 3; zone++) {
            assertEquals(0, fleet.decidedBy(zone, DecidedBy.FLEET));
            assertTrue(
                fleet.countInState(zone, State.OUT) <= 10,
                "only the nodes with false evidence may eject the zone");
          }
          fleet.nodes.get(0).votesPerCast = 1_000;
          fleet.run(12 * SECOND_NANOS);
          assertEquals(
              0,
              fleet.decidedBy(A, DecidedBy.FLEET)
                  + fleet.decidedBy(B, DecidedBy.FLEET)
                  + fleet.decidedBy(C, DecidedBy.FLEET),
              "more votes than nodes must be ignored");
        });
  }

  /**
   * Four of twelve clocks are ten voting windows behind, so the votes of these nodes have other
   * keys.
   */
  @Test
  void aMajorityWithCorrectClocksDecides() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = new FakeZoneFleet(12, seed, DecisionMode.COUNTER);
          for (int i = 0; i < 4; i++) {
            fleet.nodes.get(i).clockOffsetNanos = -40 * SECOND_NANOS;
            fleet.nodes.get(i).start();
          }
          fleet.run(10 * SECOND_NANOS);
          failZone(fleet, B);
          fleet.run(9 * SECOND_NANOS);
          assertEquals(
              8,
              fleet.decidedBy(B, DecidedBy.FLEET),
              "nodes with a correct clock follow the fleet");
          assertEquals(
              12, fleet.countInState(B, State.OUT), "nodes with a wrong clock decide on their own");
        });
  }

  /** A restarted process must not vote again in a window in which its predecessor may have. */
  @Test
  void restartedNodesVoteOnlyOncePerWindow() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          fleet.failureModel = (node, zone) -> zone == B && node < 4 ? 1 : 0.01;
          fleet.run(
              3_900 * MILLISECOND_NANOS,
              () ->
                  fleet.nodes.stream()
                      .filter(
                          node ->
                              node.index < 4 && fleet.nowNanos / (500 * MILLISECOND_NANOS) % 2 == 0)
                      .forEach(FakeZoneFleet.Node::start));
          assertTrue(
              fleet.votesBySubject.values().stream().allMatch(total -> total <= 4),
              "votes by subject: " + fleet.votesBySubject);
        });
  }

  /** The zone fails whenever it receives regular traffic; no other zone may be ejected. */
  @Test
  void aZoneThatRelapsesIsEjectedForLongerEachTime() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          // Half-open attempts succeed, but attempts fail with more than 10 % of the traffic.
          fleet.failureModel =
              (node, zone) -> zone == B && fleet.trafficFraction(B) > 0.1 ? 1 : 0.01;
          fleet.run(120 * SECOND_NANOS, () -> assertMaxOneZoneEjected(fleet));
          List<Long> ejectedAtMillis =
              fleet.nodes.get(0).log.stream()
                  .filter(
                      line ->
                          line.contains(" zone_ejected ") || line.contains(" zone_return_aborted "))
                  .map(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                  .toList();
          assertTrue(ejectedAtMillis.size() >= 4, ejectedAtMillis.toString());
          assertTrue(
              ejectedAtMillis.get(ejectedAtMillis.size() - 1)
                      - ejectedAtMillis.get(ejectedAtMillis.size() - 2)
                  > 2 * (ejectedAtMillis.get(1) - ejectedAtMillis.get(0)),
              ejectedAtMillis.toString());
        });
  }

  /** Restarted nodes use all listed zones; the others continue their ramps. */
  @Test
  void theReturnCompletesIfHalfOfTheNodesRestartAndTheCounterIsLost() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(12, seed);
          failZone(fleet, B);
          fleet.run(5 * SECOND_NANOS);
          restoreHealth(fleet);
          while (fleet.countInState(B, State.RETURNING) < 12) {
            fleet.run(100 * MILLISECOND_NANOS);
            assertTrue(
                fleet.nowNanos < 1_100 * SECOND_NANOS,
                "not all nodes readmit the zone; log of node 0: " + fleet.nodes.get(0).log);
          }
          fleet.counterUnreachable = true;
          fleet.nodes.stream()
              .filter(node -> node.index % 2 == 0)
              .forEach(FakeZoneFleet.Node::start);
          fleet.run(RETURN_RAMP_NANOS + SECOND_NANOS);
          assertEquals(12, fleet.inUse(B));
        });
  }

  @Test
  void theFleetSendsFewHalfOpenAttempts() {
    forEachSeed(
        seed -> {
          FakeZoneFleet fleet = fleet(100, seed);
          failZone(fleet, B);
          fleet.run(5 * SECOND_NANOS);
          long probesBefore = fleet.probeCount;
          long attemptsBefore = fleet.attemptsByZone[B];
          fleet.run(20 * SECOND_NANOS);
          long probes = fleet.probeCount - probesBefore;
          assertTrue(
              probes > 0 && probes <= 6 * 24, "half-open attempts of 100 nodes in 20 s: " + probes);
          assertTrue(
              fleet.attemptsByZone[B] - attemptsBefore <= probes + 1,
              "attempts in the ejected zone, including half-open ones: "
                  + (fleet.attemptsByZone[B] - attemptsBefore));
        });
  }

  @Test
  void voteKeysAreUniqueAndDifferFromQuotaKeys() {
    Set<Long> keys = new HashSet<>();
    CounterVoteTransport transport =
        new CounterVoteTransport(
            (name, amount, lifetime) -> {}, List.of("a", "b"), ZoneConsensus.VOTE_WINDOW_NANOS);
    CounterVoteTransport otherTransport =
        new CounterVoteTransport(
            (name, amount, lifetime) -> {}, List.of("a", "b"), ZoneConsensus.VOTE_WINDOW_NANOS);
    for (int zone = 0; zone < 2; zone++) {
      for (ZoneVote.Question question : ZoneVote.Question.values()) {
        for (long window = 100; window < 200; window++) {
          ZoneVote vote = new ZoneVote(zone, question, window);
          assertTrue(
              CounterVoteTransport.ownsKey(transport.key(vote)) && keys.add(transport.key(vote)));
          assertEquals(transport.key(vote), otherTransport.key(vote));
        }
      }
    }
    assertFalse(CounterVoteTransport.ownsKey(0) || CounterVoteTransport.ownsKey(Long.MAX_VALUE));
  }

  /**
   * If all endpoints of a zone restart at the start of its ramp, unknown to the nodes, the traffic
   * of the zone must stay below what overloads them during the whole ramp.
   */
  @Test
  void theSlowStartRampDoesNotOverloadEndpointsWhoseRestartIsUnknown() {
    for (double initialFraction = 0.05; initialFraction < 1; initialFraction += 0.05) {
      for (double overloadFactor = 1.1; overloadFactor < 4; overloadFactor += 0.3) {
        PlatformRules rules =
            new PlatformRules(0, initialFraction, 17 * SECOND_NANOS, overloadFactor, SECOND_NANOS);
        TrafficRamp ramp =
            new TrafficRamp(
                initialFraction,
                1,
                0,
                Math.max(1, ZoneEjectionController.slowStartRampNanos(rules)));
        for (long elapsedNanos = 0;
            elapsedNanos < 17 * SECOND_NANOS;
            elapsedNanos += 100 * MILLISECOND_NANOS) {
          double capacity =
              initialFraction
                  + (1 - initialFraction) * Math.min(1, elapsedNanos / (17.0 * SECOND_NANOS));
          assertTrue(
              ramp.fractionAt(elapsedNanos) <= Math.max(capacity, overloadFactor * capacity) + 1e-6,
              initialFraction
                  + " "
                  + overloadFactor
                  + " after (ns) "
                  + elapsedNanos
                  + ": "
                  + ramp.fractionAt(elapsedNanos));
        }
      }
    }
  }
}
