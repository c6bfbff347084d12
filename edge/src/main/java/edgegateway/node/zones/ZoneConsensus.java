package edgegateway.node.zones;

import edgegateway.policy.api.TrafficRamp;
import edgegateway.policy.api.ZoneHealth;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Which zones a fleet leaves, and how it comes back to them ({@code docs/design/zones.md}): a plain
 * class on a given clock, evidence and tallies in, courses and trials out. Times are nanoseconds of
 * a wall clock that never runs backwards in one life; one caller at a time.
 */
public final class ZoneConsensus {
  /** What it asks for. */
  public interface Actions {
    /** From now on a zone's part of the work is so; null: as ever. */
    void course(int zone, TrafficRamp course);

    /** The next request that may be repeated freely goes to a zone that is out. */
    void trial(int zone);

    /** A line for the operators. */
    void log(String text);
  }

  /**
   * What a node knows of its fleet.
   *
   * @param me its number, from 0
   * @param siblings how many nodes there are
   * @param zones the zones' names
   * @param begin the part with which a zone begins its way back
   * @param ramp for how long it grows, nanoseconds, where all its servers are known to be warm
   * @param coldRamp the same where they are not
   */
  public record Terms(
      ZoneEjectionSettings settings,
      int me,
      int siblings,
      List<String> zones,
      double begin,
      long ramp,
      long coldRamp) {
    /** More than half of all nodes, present or not: two halves can't both be right. */
    int majority() {
      return siblings / 2 + 1;
    }
  }

  /**
   * Votes hold for a window; long enough for slow evidence, short against what a zone is out for.
   */
  static final long WINDOW = 4_000_000_000L;

  /**
   * A node asks the carrier at most so often, and all nodes together 250 times a second at most.
   */
  private static final long ASK = 250_000_000L;

  private static final long ASK_PER_NODE = 4_000_000L;

  /** Three misses, or two where many nodes must agree. */
  private static final double EXCESS = 2.8;

  private static final double EXCESS_OF_MANY = 1.8;
  private static final double ALL_EXCESS = 1.5;

  /**
   * What must have been answered of late in the best other zone, the most of it that missed, and
   * the most that is in doubt there.
   */
  private static final double ELSEWHERE_GOOD = 2;

  private static final double ELSEWHERE_PART = 0.2;
  private static final double ELSEWHERE_EXCESS = 1;

  /** From so many nodes on a majority makes up for what each is less sure of. */
  private static final int MANY = 24;

  /** Calls without an answer in a row after which the carrier counts as silent. */
  private static final int SILENT = 3;

  private final Terms terms;
  private final ZoneVoteTransport ballots;
  private final Actions out;
  private final SplittableRandom chance;
  private final long born;
  private final Map<Integer, ZoneStateMachine> machines = new HashMap<>();
  private Map<Integer, ZoneHealth> evidence = Map.of();
  private int unanswered;
  private long calls;
  private long trials;
  private boolean panic;
  private boolean told;
  private boolean voting = true;

  /** Begins with all zones in; {@code seed} is its only source of chance. */
  public ZoneConsensus(Terms terms, ZoneVoteTransport ballots, long seed, long now, Actions out) {
    this.terms = terms;
    this.ballots = ballots;
    this.out = out;
    chance = new SplittableRandom(seed);
    born = now;
  }

  /**
   * To be called some ten times a second with what the node's attempts met in all zones.
   *
   * @param told whether discovery speaks, so that a server that began anew would be known
   */
  public void tick(long now, List<ZoneHealth> all, boolean told) {
    this.told = told;
    evidence = new HashMap<>();
    all.forEach(one -> evidence.put(one.zone(), one));
    Set<Integer> accused = new HashSet<>();
    all.stream().filter(this::bad).forEach(one -> accused.add(one.zone()));
    double away = away(-1);
    double more =
        accused.stream()
            .filter(zone -> !machine(zone).away())
            .mapToDouble(zone -> evidence.get(zone).endpointFraction())
            .sum();
    boolean tooMuch = more > 0 && !bearable(away + more);
    if (tooMuch) {
      accused.removeIf(zone -> !machine(zone).away());
    }
    if (tooMuch != panic) {
      panic = tooMuch;
      out.log(
          panic
              ? "zones: too much would be out, no further zone is accused"
              : "zones: accusations count again");
    }
    all.forEach(
        one ->
            machine(one.zone()).tick(now, one, accused.contains(one.zone()), goodElsewhere(one)));
  }

  private boolean bad(ZoneHealth of) {
    boolean much =
        of.failureExcess() >= (terms.siblings() < MANY ? EXCESS : EXCESS_OF_MANY)
            && of.failingEndpoints() >= Math.min(2, of.endpoints())
            && 2 * of.failingEndpoints() >= of.observedEndpoints();
    // A node that avoids each silent server at once has no more to tell than that none of them
    // answers.
    boolean all =
        of.endpoints() > 1
            && of.unresponsiveEndpoints() == of.endpoints()
            && of.failureExcess() >= ALL_EXCESS;
    return (much || all) && goodElsewhere(of);
  }

  /** Who reaches nobody accuses nobody, and a load too high for all is no zone's fault. */
  private boolean goodElsewhere(ZoneHealth of) {
    return evidence.values().stream()
        .anyMatch(
            other ->
                other.zone() != of.zone()
                    && other.recentAttempts() - other.recentFailures() >= ELSEWHERE_GOOD
                    && other.recentFailures() <= ELSEWHERE_PART * other.recentAttempts()
                    && other.failureExcess() <= ELSEWHERE_EXCESS);
  }

  /** The part of the listed servers in zones that are away, without one zone. */
  private double away(int without) {
    return evidence.values().stream()
        .filter(one -> one.zone() != without && machine(one.zone()).away())
        .mapToDouble(ZoneHealth::endpointFraction)
        .sum();
  }

  private boolean bearable(double away) {
    return away <= terms.settings().mostOut() + 1e-9;
  }

  /** Whether a zone may be left beside those that are away. */
  boolean mayLeave(int zone) {
    ZoneHealth of = evidence.get(zone);
    return of != null && bearable(away(zone) + of.endpointFraction());
  }

  private ZoneStateMachine machine(int zone) {
    return machines.computeIfAbsent(
        zone, any -> new ZoneStateMachine(zone, this, terms, out, chance.split()));
  }

  /** How many nodes have voted on a ballot; more than there are is nobody's word. */
  public void tallied(long now, ZoneVote ballot, double total) {
    unanswered = 0;
    int witnesses = (int) Math.rint(total);
    if (witnesses > terms.siblings()) {
      out.log(
          "zones: "
              + witnesses
              + " votes by "
              + terms.siblings()
              + " nodes on "
              + terms.zones().get(ballot.zone())
              + " do not count");
    } else {
      machine(ballot.zone()).tallied(now, ballot, witnesses);
    }
  }

  /** No tally comes for a call. */
  public void unanswered() {
    unanswered++;
  }

  /** Whether there is no fleet to hear. */
  boolean alone() {
    return terms.settings().verdicts() == ZoneEjectionSettings.Verdicts.ALONE
        || unanswered >= SILENT;
  }

  /**
   * Votes once in a window that began in this process's life, and asks for the tally.
   *
   * @param votedIn the window of this question's last vote
   * @return the window of its last vote now
   */
  long ask(long now, int zone, ZoneVote.Question question, boolean mine, long votedIn) {
    if (terms.settings().verdicts() == ZoneEjectionSettings.Verdicts.ALONE) {
      return votedIn;
    }
    long window = window(now);
    boolean votes = mine && voting && votedIn != window && window * WINDOW >= born;
    calls++;
    ballots.cast(now, new ZoneVote(zone, question, window), votes);
    return votes ? window : votedIn;
  }

  /** For how long a zone's part grows on its way back. */
  long ramp(int zone) {
    ZoneHealth of = evidence.get(zone);
    return told && of != null && of.warmingEndpoints() == 0 ? terms.ramp() : terms.coldRamp();
  }

  static long window(long now) {
    return Math.floorDiv(now, WINDOW);
  }

  /**
   * How long a node leaves between two calls about a zone: all nodes together load the carrier
   * alike, however many they are.
   */
  long askEvery() {
    return Math.max(ASK, terms.siblings() * ASK_PER_NODE);
  }

  /** A request goes to a zone that is out. */
  void trial(int zone) {
    trials++;
    out.trial(zone);
  }

  /** This node ends, or another process goes on in its place: it has no vote any more. */
  public void abstain() {
    voting = false;
  }

  /** How a zone stands. */
  public ZoneEjectionState verdict(int zone) {
    return machine(zone).verdict();
  }

  /** Calls to the carrier since the start. */
  public long calls() {
    return calls;
  }

  /** Trials since the start. */
  public long trials() {
    return trials;
  }

  /** Zones that are out or on their way. */
  public long zonesAway() {
    return machines.values().stream().filter(ZoneStateMachine::away).count();
  }
}
