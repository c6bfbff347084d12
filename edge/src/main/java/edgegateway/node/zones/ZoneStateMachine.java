package edgegateway.node.zones;

import edgegateway.node.zones.ZoneEjectionState.State;
import edgegateway.node.zones.ZoneEjectionState.Why;
import edgegateway.node.zones.ZoneVote.Question;
import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.Locale;
import java.util.SplittableRandom;

/** One zone's way out and back, as one node sees it. */
final class ZoneStateMachine {
  private static final long NEVER = Long.MIN_VALUE;

  /** An accusation holds so long after the evidence went: who has left meets nothing more. */
  private static final long FRESH = 4_000_000_000L;

  /** New work falls to nothing over this. */
  private static final long LEAVE = 500_000_000L;

  /** A zone is out for so long at least, twice as long after each relapse, up to so many times. */
  private static final long HOLD = 1_000_000_000L;

  private static final int MOST_DOUBLINGS = 5;

  /** A relapse counts as one while its zone was back for less than this. */
  private static final long FORGET = 60_000_000_000L;

  /** A longer break in an accusation begins it anew. */
  private static final long BREAK = 1_000_000_000L;

  /** By how many misses outnumber answers where a node asks without accusing. */
  private static final double SUSPICION = 1.5;

  /**
   * How many nodes try a zone in a window; how many must find it well; trials that each has to
   * pass, and between two of them.
   */
  private static final int TRIERS = 6;

  private static final int WELL = 3;
  private static final int PASSES = 1;
  private static final int PASSES_ALONE = 3;

  private static final long TRY_EVERY = 200_000_000L;

  /**
   * After a trial that failed the next waits for so long, twice as long after each, up to the most.
   */
  private static final long TRY_AGAIN = 500_000_000L;

  private static final long MOST_TRY_AGAIN = 2_000_000_000L;

  /** Misses since the return that send it back at once. */
  private static final int RELAPSE = 3;

  private final int zone;
  private final ZoneConsensus agreement;
  private final ZoneConsensus.Terms terms;
  private final ZoneConsensus.Actions out;
  private final SplittableRandom chance;
  private State state = State.IN;
  private Why why = Why.NONE;
  private int witnesses;
  private int relapses;
  private long since;
  private long accusedAt = NEVER;
  private long accusedSince;
  private long askAt;
  private long heldUntil;
  private long returnedAt = NEVER;
  private final long[] votedIn = {NEVER, NEVER};

  /** Attempts and misses when trials or the way back began. */
  private long baseEnded;

  private long baseMissed;
  private long triedIn = NEVER;
  private long passedIn = NEVER;
  private long tryAt;
  private long ramp;

  private int failed;

  ZoneStateMachine(
      int zone,
      ZoneConsensus agreement,
      ZoneConsensus.Terms terms,
      ZoneConsensus.Actions out,
      SplittableRandom chance) {
    this.zone = zone;
    this.agreement = agreement;
    this.terms = terms;
    this.out = out;
    this.chance = chance;
  }

  boolean away() {
    return state == State.LEAVING || state == State.OUT || state == State.RETURNING;
  }

  ZoneEjectionState verdict() {
    return new ZoneEjectionState(state, why, witnesses, since, relapses);
  }

  /** {@code comparable} is whether some other zone is well. */
  void tick(long now, ZoneHealth of, boolean accused, boolean comparable) {
    switch (state) {
      case IN, SUSPECT -> watch(now, of, accused, comparable);
      case LEAVING -> {
        affirm(now, Question.FAILING);
        if (now - since >= LEAVE) {
          state = State.OUT;
          out.course(zone, new TrafficRamp(0, 0, now, 1));
        }
      }
      case OUT -> tryOut(now, of);
      case RETURNING -> comeBack(now, of, accused);
    }
  }

  private void watch(long now, ZoneHealth of, boolean accused, boolean comparable) {
    if (accused) {
      accusedSince = accusedAt == NEVER || now - accusedAt > BREAK ? now : accusedSince;
      accusedAt = now;
      if (state == State.IN) {
        enter(now, State.SUSPECT, Why.NONE, 0);
        // Not all in one moment: the carrier's line is short.
        askAt = now + chance.nextLong(agreement.askEvery());
      }
    } else if (state == State.SUSPECT && (now - accusedAt > FRESH || !comparable)) {
      enter(now, State.IN, Why.NONE, 0);
      out.log(name() + " is not accused any more");
    }
    if (state == State.SUSPECT || of.failureExcess() >= SUSPICION && comparable) {
      ask(now, Question.FAILING, state == State.SUSPECT);
    }
    long silent = now - Math.max(accusedSince, of.lastAnswerNanos());
    if (accused && silent >= terms.settings().aloneAfter() && agreement.mayLeave(zone)) {
      leave(now, Why.ALONE, 1);
    }
  }

  /** Votes once in each window, for those who come to the same view later than this node. */
  private void affirm(long now, Question question) {
    if (votedIn[question.ordinal()] != ZoneConsensus.window(now) && why == Why.FLEET) {
      ask(now, question, true);
    }
  }

  private void ask(long now, Question question, boolean mine) {
    if (now >= askAt) {
      askAt = now + (long) (agreement.askEvery() * (0.5 + chance.nextDouble()));
      votedIn[question.ordinal()] =
          agreement.ask(now, zone, question, mine, votedIn[question.ordinal()]);
    }
  }

  /** So many nodes said so on a ballot. */
  void tallied(long now, ZoneVote ballot, int votes) {
    // What was said before a zone came back, or went out again, is not about now.
    boolean old =
        (state == State.RETURNING || relapses > 0)
            && ballot.window() <= ZoneConsensus.window(since);
    if (old) {
      return;
    }
    if (ballot.question() == Question.FAILING && votes >= terms.majority()) {
      if (state == State.OUT && why == Why.ALONE) {
        why = Why.FLEET;
        witnesses = votes;
      } else if (state != State.OUT && state != State.LEAVING && agreement.mayLeave(zone)) {
        leave(now, Why.FLEET, votes);
      }
    } else if (ballot.question() == Question.WELL
        && state == State.OUT
        && why == Why.FLEET
        && votes >= Math.min(WELL, terms.majority())) {
      beginReturn(now, Why.FLEET, votes);
    }
  }

  private void leave(long now, Why by, int votes) {
    boolean relapse = state == State.RETURNING;
    relapses = relapse || returnedAt != NEVER && now - returnedAt < FORGET ? relapses + 1 : 0;
    long hold = HOLD << Math.min(relapses, MOST_DOUBLINGS);
    // The same at all nodes, so that they can find it well together; another for each zone and
    // relapse.
    heldUntil =
        now + (long) (hold * (0.75 + new SplittableRandom(zone * 31L + relapses).nextDouble() / 2));
    triedIn = NEVER;
    passedIn = NEVER;
    tryAt = now;
    failed = 0;
    accusedAt = NEVER;
    enter(now, relapse ? State.OUT : State.LEAVING, by, votes);
    out.course(zone, relapse ? new TrafficRamp(0, 0, now, 1) : new TrafficRamp(1, 0, now, LEAVE));
    out.log(
        name()
            + (relapse ? " relapses" : " is left")
            + " by "
            + by.name().toLowerCase(Locale.ROOT)
            + ", "
            + votes
            + " of "
            + terms.siblings()
            + " nodes say so, "
            + relapses
            + " relapses");
  }

  private void tryOut(long now, ZoneHealth of) {
    if (now < heldUntil) {
      affirm(now, Question.FAILING);
      return;
    }
    long window = ZoneConsensus.window(now);
    boolean alone = why == Why.ALONE || agreement.alone();
    boolean passed = (alone || elected(window)) && passed(now, of, alone ? PASSES_ALONE : PASSES);
    // Whoever found it well before and has not heard that others did goes by its own word.
    if (passed && (alone || passedIn != NEVER && passedIn != window)) {
      beginReturn(now, Why.ALONE, 1);
    } else if (!alone) {
      if (passed && passedIn != window) {
        passedIn = window;
        askAt = now;
      }
      ask(now, Question.WELL, passed);
    }
  }

  /** In each window some others, so that no single way or node decides. */
  private boolean elected(long window) {
    long first = new SplittableRandom(window * 31 + zone).nextLong(terms.siblings());
    return Math.floorMod(terms.me() - first, terms.siblings()) < TRIERS;
  }

  /** Sends trials, one after the other; after one that failed they begin anew, later. */
  private boolean passed(long now, ZoneHealth of, int enough) {
    long window = ZoneConsensus.window(now);
    if (triedIn != window) {
      triedIn = window;
      tryAt = Math.max(tryAt, now);
      base(of);
    }
    if (of.totalFailures() > baseMissed) {
      tryAt = now + Math.min(MOST_TRY_AGAIN, TRY_AGAIN << Math.min(failed++, MOST_DOUBLINGS));
      base(of);
      return false;
    }
    boolean passed = of.totalAttempts() - baseEnded >= enough;
    if (!passed && now >= tryAt) {
      tryAt = now + TRY_EVERY;
      agreement.trial(zone);
    }
    return passed;
  }

  private void base(ZoneHealth of) {
    baseEnded = of.totalAttempts();
    baseMissed = of.totalFailures();
  }

  private void beginReturn(long now, Why by, int votes) {
    enter(now, State.RETURNING, by, votes);
    returnedAt = now;
    baseEnded = NEVER;
    ramp = agreement.ramp(zone);
    out.course(zone, new TrafficRamp(terms.begin(), 1, now, ramp));
    out.log(
        name()
            + " comes back by "
            + by.name().toLowerCase(Locale.ROOT)
            + ", "
            + votes
            + " nodes find it well");
  }

  private void comeBack(long now, ZoneHealth of, boolean accused) {
    if (baseEnded == NEVER) {
      base(of);
    }
    long ended = of.totalAttempts() - baseEnded;
    long missed = of.totalFailures() - baseMissed;
    boolean again = accused && missed >= RELAPSE && 2 * missed >= ended;
    if (again) {
      askAt = now;
      ask(now, Question.FAILING, true);
      leave(now, why, 1);
    } else if (now - since >= ramp) {
      returnedAt = now;
      enter(now, State.IN, Why.NONE, 0);
      out.course(zone, null);
      out.log(name() + " is back");
    } else if (missed > 0) {
      ask(now, Question.FAILING, false);
    } else {
      affirm(now, Question.WELL);
    }
  }

  private void enter(long now, State next, Why by, int votes) {
    state = next;
    why = by;
    witnesses = votes;
    since = now;
  }

  private String name() {
    return "zone " + terms.zones().get(zone);
  }
}
