package edgegateway.node.zones;

import edgegateway.node.zones.ZoneEjectionState.DecidedBy;
import edgegateway.node.zones.ZoneEjectionState.State;
import edgegateway.node.zones.ZoneVote.Question;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Ejection and return of one zone as one node sees it. The states follow one another in the order
 * of {@link State}; a returning zone is in use again or, if it fails, ejected again.
 */
final class ZoneStateMachine {
  private static final long NEVER = Long.MIN_VALUE;

  /** How long a suspicion lasts without new evidence. Nodes send less to failing endpoints. */
  private static final long SUSPICION_HOLD_NANOS = 4_000_000_000L;

  /** After a longer gap in the evidence, the suspicion starts again. */
  private static final long MAX_SUSPICION_GAP_NANOS = 1_000_000_000L;

  /** Failure excess from which a node requests the vote count without casting a vote. */
  private static final double VOTE_REQUEST_FAILURE_EXCESS = 1.5;

  /** Time over which the traffic of an ejected zone ramps down to zero. */
  private static final long EJECTION_RAMP_NANOS = 500_000_000L;

  /** Mean time from an ejection to the first half-open attempt; doubles with each relapse. */
  private static final long BASE_EJECTION_NANOS = 1_000_000_000L;

  private static final int MAX_EJECTION_DOUBLINGS = 5;

  /** The time of an ejection is multiplied by a pseudo-random factor from this to this plus 0.5. */
  private static final double MIN_EJECTION_JITTER = 0.75;

  private static final long SEED_MULTIPLIER = 31;

  /** An ejection within this time after the end of a return is a relapse. */
  private static final long RELAPSE_WINDOW_NANOS = 60_000_000_000L;

  /** Failures since the start of a return from which a relapse is possible. */
  private static final int MIN_RELAPSE_FAILURES = 3;

  /** Number of nodes that probe an ejected zone in a voting window. */
  private static final int PROBING_NODES_PER_WINDOW = 6;

  /** Votes required to readmit a zone; a majority if that is less. */
  private static final int MIN_RETURN_VOTES = 3;

  /** Successful half-open attempts that a node needs to vote for a zone's return. */
  private static final int REQUIRED_SUCCESSES = 1;

  /** Successful half-open attempts that a node needs to readmit a zone on its own. */
  private static final int REQUIRED_SUCCESSES_LOCAL = 3;

  /** The vote request interval is multiplied by a random factor from this to this plus 1. */
  private static final double MIN_VOTE_REQUEST_JITTER = 0.5;

  private final int zone;
  private final ZoneConsensus consensus;
  private final ZoneConsensus.FleetSettings fleet;
  private final ZoneConsensus.Actions actions;
  private final SplittableRandom random;
  private final HalfOpenProbes probes;

  private State state = State.IN;
  private DecidedBy decidedBy = DecidedBy.NONE;
  private int votes;
  private int relapses;
  private long sinceNanos;

  private long lastSuspectedNanos = NEVER;
  private long suspectedSinceNanos;
  private long nextVoteRequestNanos;

  /** Window of this node's last vote on each question, by ordinal. */
  private final long[] votedWindows = {NEVER, NEVER};

  /** No half-open attempts are sent before this time. */
  private long ejectedUntilNanos;

  /** Start of the current return or end of the last one. */
  private long returnedNanos = NEVER;

  /** Last voting window in which this node's half-open attempts succeeded. */
  private long healthyWindow = NEVER;

  private long returnRampNanos;

  /** Total attempts of the zone at the start of its return; NEVER until the first tick of it. */
  private long attemptsAtReturn;

  /** Total failures of the zone at the start of its return. */
  private long failuresAtReturn;

  ZoneStateMachine(
      int zone,
      ZoneConsensus consensus,
      ZoneConsensus.FleetSettings fleet,
      ZoneConsensus.Actions actions,
      SplittableRandom random) {
    this.zone = zone;
    this.consensus = consensus;
    this.fleet = fleet;
    this.actions = actions;
    this.random = random;
    probes = new HalfOpenProbes(() -> consensus.probe(zone));
  }

  /** Whether the zone's traffic is reduced. */
  boolean isEjected() {
    return state == State.LEAVING || state == State.OUT || state == State.RETURNING;
  }

  /** Returns the current state for reports to operators. */
  ZoneEjectionState state() {
    return new ZoneEjectionState(state, decidedBy, votes, sinceNanos, relapses);
  }

  /**
   * Updates the state.
   *
   * @param failing whether this node finds the zone failing
   * @param hasHealthyPeer whether another zone is healthy
   */
  void tick(long nowNanos, ZoneHealth health, boolean failing, boolean hasHealthyPeer) {
    switch (state) {
      case IN, SUSPECT -> watchUsedZone(nowNanos, health, failing, hasHealthyPeer);
      case LEAVING -> rampDown(nowNanos);
      case OUT -> probeEjectedZone(nowNanos, health);
      case RETURNING -> advanceReturn(nowNanos, health, failing);
    }
  }

  private void watchUsedZone(
      long nowNanos, ZoneHealth health, boolean failing, boolean hasHealthyPeer) {
    if (failing) {
      suspect(nowNanos);
    } else if (state == State.SUSPECT
        && (nowNanos - lastSuspectedNanos > SUSPICION_HOLD_NANOS || !hasHealthyPeer)) {
      enterState(nowNanos, State.IN, DecidedBy.NONE, 0);
      actions.log("zone_suspicion_cleared zone=" + zoneName());
    }
    if (state == State.SUSPECT
        || health.failureExcess() >= VOTE_REQUEST_FAILURE_EXCESS && hasHealthyPeer) {
      requestVotes(nowNanos, Question.FAILING, state == State.SUSPECT);
    }
    long unresponsiveNanos = nowNanos - Math.max(suspectedSinceNanos, health.lastAnswerNanos());
    if (failing
        && unresponsiveNanos >= fleet.settings().localDecisionAfterNanos()
        && consensus.mayEject(zone)) {
      eject(nowNanos, DecidedBy.ALONE, 1);
    }
  }

  private void suspect(long nowNanos) {
    boolean isNewSuspicion =
        lastSuspectedNanos == NEVER || nowNanos - lastSuspectedNanos > MAX_SUSPICION_GAP_NANOS;
    suspectedSinceNanos = isNewSuspicion ? nowNanos : suspectedSinceNanos;
    lastSuspectedNanos = nowNanos;
    if (state == State.IN) {
      enterState(nowNanos, State.SUSPECT, DecidedBy.NONE, 0);
      // A random delay: calls of all nodes at once would overflow the counter's queue.
      nextVoteRequestNanos = nowNanos + random.nextLong(consensus.voteRequestIntervalNanos());
    }
  }

  private void rampDown(long nowNanos) {
    renewVote(nowNanos, Question.FAILING);
    if (nowNanos - sinceNanos >= EJECTION_RAMP_NANOS) {
      state = State.OUT;
      actions.setRamp(zone, noTraffic(nowNanos));
    }
  }

  private static TrafficRamp noTraffic(long nowNanos) {
    return new TrafficRamp(0, 0, nowNanos, 1);
  }

  /**
   * Votes once in each window for a decision of the fleet that this node follows, so that nodes
   * that find the same later get a majority too.
   */
  private void renewVote(long nowNanos, Question question) {
    boolean voted = votedWindows[question.ordinal()] == ZoneConsensus.window(nowNanos);
    if (!voted && decidedBy == DecidedBy.FLEET) {
      requestVotes(nowNanos, question, true);
    }
  }

  private void requestVotes(long nowNanos, Question question, boolean agrees) {
    if (nowNanos >= nextVoteRequestNanos) {
      double jitter = MIN_VOTE_REQUEST_JITTER + random.nextDouble();
      nextVoteRequestNanos = nowNanos + (long) (consensus.voteRequestIntervalNanos() * jitter);
      votedWindows[question.ordinal()] =
          consensus.requestVotes(
              nowNanos, zone, question, agrees, votedWindows[question.ordinal()]);
    }
  }

  /** Handles the number of nodes that cast a vote, as the counter reported it. */
  void votesCounted(long nowNanos, ZoneVote vote, int count) {
    // Votes cast before a return, or before an ejection after a relapse, say nothing about the
    // zone's current state.
    boolean outdated =
        (state == State.RETURNING || relapses > 0)
            && vote.window() <= ZoneConsensus.window(sinceNanos);
    if (outdated) {
      return;
    }
    if (vote.question() == Question.FAILING && count >= fleet.majority()) {
      failingVotedByMajority(nowNanos, count);
    } else if (vote.question() == Question.HEALTHY
        && state == State.OUT
        && decidedBy == DecidedBy.FLEET
        && count >= Math.min(MIN_RETURN_VOTES, fleet.majority())) {
      beginReturn(nowNanos, DecidedBy.FLEET, count);
    }
  }

  private void failingVotedByMajority(long nowNanos, int count) {
    if (state == State.OUT && decidedBy == DecidedBy.ALONE) {
      decidedBy = DecidedBy.FLEET;
      votes = count;
    } else if (state != State.OUT && state != State.LEAVING && consensus.mayEject(zone)) {
      eject(nowNanos, DecidedBy.FLEET, count);
    }
  }

  private void eject(long nowNanos, DecidedBy decider, int voteCount) {
    boolean wasReturning = state == State.RETURNING;
    boolean relapse =
        wasReturning || returnedNanos != NEVER && nowNanos - returnedNanos < RELAPSE_WINDOW_NANOS;
    relapses = relapse ? relapses + 1 : 0;
    ejectedUntilNanos = nowNanos + ejectionNanos();
    probes.reset(nowNanos);
    healthyWindow = NEVER;
    lastSuspectedNanos = NEVER;
    enterState(nowNanos, wasReturning ? State.OUT : State.LEAVING, decider, voteCount);
    actions.setRamp(
        zone,
        wasReturning ? noTraffic(nowNanos) : new TrafficRamp(1, 0, nowNanos, EJECTION_RAMP_NANOS));
    actions.log(
        (wasReturning ? "zone_return_aborted" : "zone_ejected")
            + decisionFields(decider, voteCount)
            + " nodes="
            + fleet.nodeCount()
            + " relapses="
            + relapses);
  }

  /**
   * Returns the time until the first half-open attempt, in nanoseconds. Its jitter depends only on
   * the zone and the relapses and is the same at all nodes, so that they can find the zone healthy
   * in the same voting window.
   */
  private long ejectionNanos() {
    long meanNanos = BASE_EJECTION_NANOS << Math.min(relapses, MAX_EJECTION_DOUBLINGS);
    SplittableRandom jitter = new SplittableRandom(zone * SEED_MULTIPLIER + relapses);
    return (long) (meanNanos * (MIN_EJECTION_JITTER + jitter.nextDouble() / 2));
  }

  private void probeEjectedZone(long nowNanos, ZoneHealth health) {
    if (nowNanos < ejectedUntilNanos) {
      renewVote(nowNanos, Question.FAILING);
      return;
    }
    long window = ZoneConsensus.window(nowNanos);
    boolean decidesLocally = decidedBy == DecidedBy.ALONE || consensus.decidesLocally();
    int requiredSuccesses = decidesLocally ? REQUIRED_SUCCESSES_LOCAL : REQUIRED_SUCCESSES;
    boolean succeeded =
        (decidesLocally || probesIn(window)) && probes.advance(nowNanos, health, requiredSuccesses);
    // If the zone was healthy in an earlier window and no quorum followed, this node readmits it.
    boolean healthyInEarlierWindow = healthyWindow != NEVER && healthyWindow != window;
    if (succeeded && (decidesLocally || healthyInEarlierWindow)) {
      beginReturn(nowNanos, DecidedBy.ALONE, 1);
    } else if (!decidesLocally) {
      if (succeeded && healthyWindow != window) {
        healthyWindow = window;
        nextVoteRequestNanos = nowNanos;
      }
      requestVotes(nowNanos, Question.HEALTHY, succeeded);
    }
  }

  /**
   * Whether this node probes in a voting window. The probing nodes change with each window, so that
   * no single node or network path decides.
   */
  private boolean probesIn(long window) {
    long seed = window * SEED_MULTIPLIER + zone;
    long firstNode = new SplittableRandom(seed).nextLong(fleet.nodeCount());
    return Math.floorMod(fleet.nodeIndex() - firstNode, fleet.nodeCount())
        < PROBING_NODES_PER_WINDOW;
  }

  private void beginReturn(long nowNanos, DecidedBy decider, int voteCount) {
    enterState(nowNanos, State.RETURNING, decider, voteCount);
    returnedNanos = nowNanos;
    attemptsAtReturn = NEVER;
    returnRampNanos = consensus.returnRampNanos(zone);
    actions.setRamp(zone, new TrafficRamp(fleet.initialFraction(), 1, nowNanos, returnRampNanos));
    actions.log("zone_returning" + decisionFields(decider, voteCount));
  }

  private void advanceReturn(long nowNanos, ZoneHealth health, boolean failing) {
    if (attemptsAtReturn == NEVER) {
      attemptsAtReturn = health.totalAttempts();
      failuresAtReturn = health.totalFailures();
    }
    long attempts = health.totalAttempts() - attemptsAtReturn;
    long failures = health.totalFailures() - failuresAtReturn;
    boolean relapse = failing && failures >= MIN_RELAPSE_FAILURES && 2 * failures >= attempts;
    if (relapse) {
      nextVoteRequestNanos = nowNanos;
      requestVotes(nowNanos, Question.FAILING, true);
      eject(nowNanos, decidedBy, 1);
    } else if (nowNanos - sinceNanos >= returnRampNanos) {
      returnedNanos = nowNanos;
      enterState(nowNanos, State.IN, DecidedBy.NONE, 0);
      actions.setRamp(zone, null);
      actions.log("zone_returned zone=" + zoneName());
    } else if (failures > 0) {
      requestVotes(nowNanos, Question.FAILING, false);
    } else {
      renewVote(nowNanos, Question.HEALTHY);
    }
  }

  private void enterState(long nowNanos, State next, DecidedBy decider, int voteCount) {
    state = next;
    decidedBy = decider;
    votes = voteCount;
    sinceNanos = nowNanos;
  }

  private String decisionFields(DecidedBy decider, int voteCount) {
    return " zone="
        + zoneName()
        + " by="
        + decider.name().toLowerCase(Locale.ROOT)
        + " votes="
        + voteCount;
  }

  private String zoneName() {
    return fleet.zoneNames().get(zone);
  }
}
