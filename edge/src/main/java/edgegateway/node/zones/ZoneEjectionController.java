package edgegateway.node.zones;

import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.TrafficRamp;
import java.util.List;

/**
 * Connects {@link ZoneConsensus} to a node's policy and to the shared quota counter. Must be called
 * on the policy's thread and with the policy's clock.
 */
public final class ZoneEjectionController implements ZoneConsensus.Actions {
  /** Interval at which {@link #tick} must be called, in nanoseconds. */
  public static final long TICK_INTERVAL_NANOS = 100_000_000L;

  /** Traffic of a returning zone, at most, as a fraction of what overloads its endpoints. */
  private static final double OVERLOAD_MARGIN = 0.8;

  /**
   * Duration of the ramp if discovery reported no restarted endpoint: twice the time within which
   * it reports one.
   */
  private static final long RETURN_RAMP_NANOS = 2_000_000_000L;

  /** Avoids a division by zero. */
  private static final double MIN_DIVISOR = 1e-9;

  private final GatewayPolicy policy;
  private final PolicyActions host;
  private final CounterVoteTransport transport;
  private final ZoneConsensus consensus;

  /** Time of the current event. */
  private long nowNanos;

  /**
   * Creates a controller with all zones in use. Without a shared counter each node decides for
   * itself, regardless of the decision mode in {@code ejection}.
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
        new ZoneConsensus(
            fleetSettings(ejection, settings, zoneNames), transport, seed, nowNanos, this);
  }

  private static ZoneConsensus.FleetSettings fleetSettings(
      ZoneEjectionSettings ejection, PolicySettings settings, List<String> zoneNames) {
    ZoneEjectionSettings effective =
        settings.counter().configured()
            ? ejection
            : new ZoneEjectionSettings(
                ZoneEjectionSettings.DecisionMode.ALONE,
                ejection.maxEjectedFraction(),
                ejection.localDecisionAfterNanos());
    return new ZoneConsensus.FleetSettings(
        effective,
        settings.nodeIndex(),
        Math.max(1, settings.nodeCount()),
        zoneNames,
        Math.min(1, settings.rules().slowStartInitialFraction()),
        RETURN_RAMP_NANOS,
        Math.max(RETURN_RAMP_NANOS, slowStartRampNanos(settings.rules())));
  }

  /**
   * Returns the shortest ramp, in nanoseconds, on which a zone's traffic stays below {@link
   * #OVERLOAD_MARGIN} of what overloads its endpoints, even if all of them restarted at the start
   * of the ramp and no node knows that.
   */
  static long slowStartRampNanos(PlatformRules rules) {
    double initialCapacity = rules.slowStartInitialFraction();
    double requiredCapacity = 1 / (OVERLOAD_MARGIN * Math.max(1, rules.overloadFactor()));
    double slowStartFraction =
        (requiredCapacity - initialCapacity) / Math.max(MIN_DIVISOR, 1 - initialCapacity);
    double boundedFraction = Math.max(0, Math.min(1, slowStartFraction));
    return Math.max(1, (long) (rules.slowStartNanos() * boundedFraction));
  }

  /**
   * Updates the state of all zones; must be called every {@link #TICK_INTERVAL_NANOS}.
   *
   * @param discoveryCurrent whether the endpoint list is up to date
   */
  public void tick(long nowNanos, boolean discoveryCurrent) {
    this.nowNanos = nowNanos;
    consensus.tick(nowNanos, policy.zoneHealth(nowNanos), discoveryCurrent);
  }

  /** Whether a counter key belongs to a vote on a zone and not to the policy's quotas. */
  public static boolean ownsCounterKey(long key) {
    return CounterVoteTransport.ownsKey(key);
  }

  /**
   * Handles the end of a counter call whose key {@link #ownsCounterKey} accepts.
   *
   * @param total new total of the key; used only if the outcome is {@link Outcome#OK}
   */
  public void counterReplied(long nowNanos, long key, Outcome outcome, double total) {
    this.nowNanos = nowNanos;
    ZoneVote vote = transport.callEnded(key);
    if (vote != null && outcome == Outcome.OK) {
      consensus.votesCounted(nowNanos, vote, total);
    } else if (vote != null) {
      consensus.voteUnanswered();
    }
  }

  /** The state of the zones, for reports to operators and to stop voting at shutdown. */
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
