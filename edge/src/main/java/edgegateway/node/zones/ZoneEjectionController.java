package edgegateway.node.zones;

import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.TrafficRamp;
import java.util.List;

/**
 * Connects the fleet's decisions on zones with a node's policy and with the shared quota counter.
 * Its host calls it as it calls the policy: on one thread, with the same clock.
 */
public final class ZoneEjectionController implements ZoneConsensus.Actions {
  /** How often {@link #tick} is to be called, nanoseconds. */
  public static final long TICK_INTERVAL_NANOS = 100_000_000L;

  /** A returning zone gets at most this fraction of what overloads an endpoint in slow start. */
  private static final double OVERLOAD_MARGIN = 0.8;

  /** Twice the time within which discovery reports a restart: the ramp where it reported none. */
  private static final long RAMP_NANOS = 2_000_000_000L;

  private static final double MIN_DIVISOR = 1e-9;

  private final GatewayPolicy policy;
  private final PolicyActions host;
  private final CounterVoteTransport transport;
  private final ZoneConsensus consensus;

  /** Time of the present event. */
  private long nowNanos;

  /**
   * A controller that begins with all zones in use. Without a shared counter each node decides by
   * itself, whatever {@code ejection} says.
   *
   * @param zoneNames names of the zones by index
   */
  public ZoneEjectionController(
      ZoneEjectionSettings ejection,
      PolicySettings settings,
      List<String> zoneNames,
      long seed,
      long nowNanos,
      GatewayPolicy policy,
      PolicyActions host) {
    this.policy = policy;
    this.host = host;
    transport =
        new CounterVoteTransport(host::addToCounter, zoneNames, ZoneConsensus.VOTE_WINDOW_NANOS);
    consensus =
        new ZoneConsensus(fleet(ejection, settings, zoneNames), transport, seed, nowNanos, this);
  }

  private static ZoneConsensus.FleetSettings fleet(
      ZoneEjectionSettings ejection, PolicySettings settings, List<String> zoneNames) {
    ZoneEjectionSettings possible =
        settings.counter().configured()
            ? ejection
            : new ZoneEjectionSettings(
                ZoneEjectionSettings.DecisionMode.ALONE,
                ejection.maxEjectedFraction(),
                ejection.localDecisionAfterNanos());
    return new ZoneConsensus.FleetSettings(
        possible,
        settings.nodeIndex(),
        Math.max(1, settings.nodeCount()),
        zoneNames,
        Math.min(1, settings.rules().slowStartInitialFraction()),
        RAMP_NANOS,
        Math.max(RAMP_NANOS, slowStartRampNanos(settings.rules())));
  }

  /**
   * Shortest ramp on which a zone's traffic stays below {@link #OVERLOAD_MARGIN} of what overloads
   * its endpoints, though all of them restarted when it began and nobody knows.
   */
  static long slowStartRampNanos(PlatformRules rules) {
    double initial = rules.slowStartInitialFraction();
    double overload = 1 / (OVERLOAD_MARGIN * Math.max(1, rules.overloadFactor()));
    double rampFraction = (overload - initial) / Math.max(MIN_DIVISOR, 1 - initial);
    double bounded = Math.max(0, Math.min(1, rampFraction));
    return Math.max(1, (long) (rules.slowStartNanos() * bounded));
  }

  /**
   * Goes on; to be called every {@link #TICK_INTERVAL_NANOS}.
   *
   * @param discoveryCurrent whether discovery answers
   */
  public void tick(long nowNanos, boolean discoveryCurrent) {
    this.nowNanos = nowNanos;
    consensus.tick(nowNanos, policy.zoneHealth(nowNanos), discoveryCurrent);
  }

  /** Whether a call to the counter with this key was made here, and not by the policy. */
  public static boolean ownsCounterKey(long key) {
    return CounterVoteTransport.ownsKey(key);
  }

  /** A call to the counter with a key that {@link #ownsCounterKey} ended. */
  public void counterReplied(long nowNanos, long key, Outcome outcome, double total) {
    this.nowNanos = nowNanos;
    ZoneVote vote = transport.callEnded(key);
    if (vote != null && outcome == Outcome.OK) {
      consensus.votesCounted(nowNanos, vote, total);
    } else if (vote != null) {
      consensus.voteUnanswered();
    }
  }

  /** The decisions, for operators, and for the end of this process. */
  public ZoneConsensus consensus() {
    return consensus;
  }

  @Override
  public void setRamp(int zone, TrafficRamp ramp) {
    policy.setZoneRamp(nowNanos, zone, ramp);
  }

  @Override
  public void probe(int zone) {
    policy.probeZone(nowNanos, zone);
  }

  @Override
  public void log(String message) {
    host.log(message);
  }
}
