package edgegateway.node.zones;

import edgegateway.node.zones.ZoneEjectionState.DecidedBy;
import edgegateway.node.zones.ZoneEjectionState.State;
import edgegateway.node.zones.ZoneVote.Question;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Ejection and return of one zone, as one node sees it: in use, suspected, traffic ramping down,
 * ejected, traffic ramping up, in use.
 */
final class ZoneStateMachine {
  private static final long NEVER = Long.MIN_VALUE;

  /** How long a suspicion outlives its evidence: a node that avoids the zone sees no more of it. */
  private static final long SUSPICION_HOLD_NANOS = 4_000_000_000L;

  /** A longer gap in the evidence restarts a suspicion. */
  private static final long MAX_SUSPICION_GAP_NANOS = 1_000_000_000L;

  /** Failure excess from which a node asks for votes without casting one. */
  private static final double ASK_FAILURE_EXCESS = 1.5;

  /** New traffic falls to nothing over this time. */
  private static final long LEAVE_RAMP_NANOS = 500_000_000L;

  /** Shortest ejection; twice as long after each relapse. */
  private static final long MIN_EJECTION_NANOS = 1_000_000_000L;

  private static final int MAX_EJECTION_DOUBLINGS = 5;

  /** The shortest ejection is spread from this part of it to this part plus a half. */
  private static final double MIN_EJECTION_SPREAD = 0.75;

  private static final long SPREAD_SEED_MULTIPLIER = 31;

  /** An ejection so soon after a return is a relapse. */
  private static final long RELAPSE_WINDOW_NANOS = 60_000_000_000L;

  /** Failures since the return from which a relapse is considered. */
  private static final int RELAPSE_FAILURES = 3;

  /** Nodes that probe an ejected zone in a window. */
  private static final int PROBING_NODES = 6;

  /** Votes that bring a zone back, or a majority where that is less. */
  private static final int RETURN_VOTES = 3;

  /** Answers that a node needs to its half-open attempts, and if it decides by itself. */
  private static final int REQUIRED_ANSWERS = 1;

  private static final int REQUIRED_ANSWERS_LOCAL = 3;

  /** Calls about votes are spread from a half to one and a half of their interval. */
  private static final double ASK_SPREAD_START = 0.5;

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
  private long nextAskNanos;

  /** Window of this node's last vote on each question. */
  private final long[] votedWindows = {NEVER, NEVER};

  private long ejectedUntilNanos;
  private long returnedNanos = NEVER;
  private long healthyWindow = NEVER;
  private long returnRampNanos;

  /** Totals of the zone when it began to return; attempts are NEVER until the next tick. */
  private long attemptsBefore;

  private long failuresBefore;

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

  /** The state for operators. */
  ZoneEjectionState state() {
    return new ZoneEjectionState(state, decidedBy, votes, sinceNanos, relapses);
  }

  /**
   * Goes on to the next state if it is time.
   *
   * @param failing whether this node finds the zone failing
   * @param comparable whether some other zone is healthy
   */
  void tick(long nowNanos, ZoneHealth health, boolean failing, boolean comparable) {
    switch (state) {
      case IN, SUSPECT -> watch(nowNanos, health, failing, comparable);
      case LEAVING -> leave(nowNanos);
      case OUT -> probe(nowNanos, health);
      case RETURNING -> advanceReturn(nowNanos, health, failing);
    }
  }

  private void watch(long nowNanos, ZoneHealth health, boolean failing, boolean comparable) {
    if (failing) {
      suspect(nowNanos);
    } else if (state == State.SUSPECT
        && (nowNanos - lastSuspectedNanos > SUSPICION_HOLD_NANOS || !comparable)) {
      enter(nowNanos, State.IN, DecidedBy.NONE, 0);
      actions.log("zone_suspicion_cleared zone=" + name());
    }
    if (state == State.SUSPECT || health.failureExcess() >= ASK_FAILURE_EXCESS && comparable) {
      ask(nowNanos, Question.FAILING, state == State.SUSPECT);
    }
    long silentNanos = nowNanos - Math.max(suspectedSinceNanos, health.lastAnswerNanos());
    if (failing
        && silentNanos >= fleet.settings().localDecisionAfterNanos()
        && consensus.mayEject(zone)) {
      eject(nowNanos, DecidedBy.ALONE, 1);
    }
  }

  private void suspect(long nowNanos) {
    boolean anew =
        lastSuspectedNanos == NEVER || nowNanos - lastSuspectedNanos > MAX_SUSPICION_GAP_NANOS;
    suspectedSinceNanos = anew ? nowNanos : suspectedSinceNanos;
    lastSuspectedNanos = nowNanos;
    if (state == State.IN) {
      enter(nowNanos, State.SUSPECT, DecidedBy.NONE, 0);
      // Spread over time: all nodes at once would find the counter's queue full.
      nextAskNanos = nowNanos + random.nextLong(consensus.askIntervalNanos());
    }
  }

  private void leave(long nowNanos) {
    confirm(nowNanos, Question.FAILING);
    if (nowNanos - sinceNanos >= LEAVE_RAMP_NANOS) {
      state = State.OUT;
      actions.setRamp(zone, noTraffic(nowNanos));
    }
  }

  private static TrafficRamp noTraffic(long nowNanos) {
    return new TrafficRamp(0, 0, nowNanos, 1);
  }

  /** Votes once in each window, for nodes that come to the same view later than this one. */
  private void confirm(long nowNanos, Question question) {
    boolean voted = votedWindows[question.ordinal()] == ZoneConsensus.window(nowNanos);
    if (!voted && decidedBy == DecidedBy.FLEET) {
      ask(nowNanos, question, true);
    }
  }

  private void ask(long nowNanos, Question question, boolean castsVote) {
    if (nowNanos >= nextAskNanos) {
      double spread = ASK_SPREAD_START + random.nextDouble();
      nextAskNanos = nowNanos + (long) (consensus.askIntervalNanos() * spread);
      votedWindows[question.ordinal()] =
          consensus.ask(nowNanos, zone, question, castsVote, votedWindows[question.ordinal()]);
    }
  }

  /** The counter reported how many nodes cast this vote. */
  void votesCounted(long nowNanos, ZoneVote vote, int count) {
    // Votes from before the zone's return, or its last ejection, are not about its present state.
    boolean outdated =
        (state == State.RETURNING || relapses > 0)
            && vote.window() <= ZoneConsensus.window(sinceNanos);
    if (outdated) {
      return;
    }
    if (vote.question() == Question.FAILING && count >= fleet.majority()) {
      failingByMajority(nowNanos, count);
    } else if (vote.question() == Question.HEALTHY
        && state == State.OUT
        && decidedBy == DecidedBy.FLEET
        && count >= Math.min(RETURN_VOTES, fleet.majority())) {
      beginReturn(nowNanos, DecidedBy.FLEET, count);
    }
  }

  private void failingByMajority(long nowNanos, int count) {
    if (state == State.OUT && decidedBy == DecidedBy.ALONE) {
      decidedBy = DecidedBy.FLEET;
      votes = count;
    } else if (state != State.OUT && state != State.LEAVING && consensus.mayEject(zone)) {
      eject(nowNanos, DecidedBy.FLEET, count);
    }
  }

  private void eject(long nowNanos, DecidedBy by, int count) {
    boolean returning = state == State.RETURNING;
    boolean relapse =
        returning || returnedNanos != NEVER && nowNanos - returnedNanos < RELAPSE_WINDOW_NANOS;
    relapses = relapse ? relapses + 1 : 0;
    ejectedUntilNanos = nowNanos + ejectionNanos();
    probes.reset(nowNanos);
    healthyWindow = NEVER;
    lastSuspectedNanos = NEVER;
    enter(nowNanos, returning ? State.OUT : State.LEAVING, by, count);
    actions.setRamp(
        zone, returning ? noTraffic(nowNanos) : new TrafficRamp(1, 0, nowNanos, LEAVE_RAMP_NANOS));
    actions.log(
        (returning ? "zone_return_aborted" : "zone_ejected")
            + decision(by, count)
            + " nodes="
            + fleet.nodeCount()
            + " relapses="
            + relapses);
  }

  /**
   * Spread by zone and relapse, but the same at all nodes, so that they can find the zone healthy
   * in the same window.
   */
  private long ejectionNanos() {
    long shortestNanos = MIN_EJECTION_NANOS << Math.min(relapses, MAX_EJECTION_DOUBLINGS);
    SplittableRandom spread = new SplittableRandom(zone * SPREAD_SEED_MULTIPLIER + relapses);
    return (long) (shortestNanos * (MIN_EJECTION_SPREAD + spread.nextDouble() / 2));
  }

  private void probe(long nowNanos, ZoneHealth health) {
    if (nowNanos < ejectedUntilNanos) {
      confirm(nowNanos, Question.FAILING);
      return;
    }
    long window = ZoneConsensus.window(nowNanos);
    boolean local = decidedBy == DecidedBy.ALONE || consensus.decidesLocally();
    int requiredAnswers = local ? REQUIRED_ANSWERS_LOCAL : REQUIRED_ANSWERS;
    boolean passed =
        (local || probesIn(window)) && probes.passed(nowNanos, health, requiredAnswers);
    // A node that found it healthy in an earlier window, and heard of no quorum, decides by itself.
    boolean foundBefore = healthyWindow != NEVER && healthyWindow != window;
    if (passed && (local || foundBefore)) {
      beginReturn(nowNanos, DecidedBy.ALONE, 1);
    } else if (!local) {
      if (passed && healthyWindow != window) {
        healthyWindow = window;
        nextAskNanos = nowNanos;
      }
      ask(nowNanos, Question.HEALTHY, passed);
    }
  }

  /** Whether this node probes in a window: others each time, so that no path or node decides. */
  private boolean probesIn(long window) {
    long seed = window * SPREAD_SEED_MULTIPLIER + zone;
    long first = new SplittableRandom(seed).nextLong(fleet.nodeCount());
    return Math.floorMod(fleet.nodeIndex() - first, fleet.nodeCount()) < PROBING_NODES;
  }

  private void beginReturn(long nowNanos, DecidedBy by, int count) {
    enter(nowNanos, State.RETURNING, by, count);
    returnedNanos = nowNanos;
    attemptsBefore = NEVER;
    returnRampNanos = consensus.returnRampNanos(zone);
    actions.setRamp(zone, new TrafficRamp(fleet.initialFraction(), 1, nowNanos, returnRampNanos));
    actions.log("zone_returning" + decision(by, count));
  }

  private void advanceReturn(long nowNanos, ZoneHealth health, boolean failing) {
    if (attemptsBefore == NEVER) {
      attemptsBefore = health.totalAttempts();
      failuresBefore = health.totalFailures();
    }
    long attempts = health.totalAttempts() - attemptsBefore;
    long failures = health.totalFailures() - failuresBefore;
    boolean relapse = failing && failures >= RELAPSE_FAILURES && 2 * failures >= attempts;
    if (relapse) {
      nextAskNanos = nowNanos;
      ask(nowNanos, Question.FAILING, true);
      eject(nowNanos, decidedBy, 1);
    } else if (nowNanos - sinceNanos >= returnRampNanos) {
      returnedNanos = nowNanos;
      enter(nowNanos, State.IN, DecidedBy.NONE, 0);
      actions.setRamp(zone, null);
      actions.log("zone_returned zone=" + name());
    } else if (failures > 0) {
      ask(nowNanos, Question.FAILING, false);
    } else {
      confirm(nowNanos, Question.HEALTHY);
    }
  }

  private void enter(long nowNanos, State next, DecidedBy by, int count) {
    state = next;
    decidedBy = by;
    votes = count;
    sinceNanos = nowNanos;
  }

  private String decision(DecidedBy by, int count) {
    return " zone=" + name() + " by=" + by.name().toLowerCase(Locale.ROOT) + " votes=" + count;
  }

  private String name() {
    return fleet.zoneNames().get(zone);
  }
}
