package edgegateway.node.zones;

import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.TrafficRamp;
import java.util.List;

/**
 * Joins the agreement on zones to a node's module and to its shared counter; its host calls it as
 * it calls the module.
 */
public final class ZoneEjectionController implements ZoneConsensus.Actions {
  /** How often {@link #tick} is to be called, nanoseconds. */
  public static final long TICK = 100_000_000L;

  /** A returning zone gets no more than this part of what would push a cold server over. */
  private static final double SAFE = 0.8;

  /**
   * Discovery tells of a new start within about a second: where all are known to be warm, most of
   * the ramp lies behind that.
   */
  private static final long WARM_RAMP = 2_000_000_000L;

  private final GatewayPolicy gateway;
  private final PolicyActions host;
  private final CounterVoteTransport ballots;
  private final ZoneConsensus agreement;

  /** Of the event that is on. */
  private long now;

  /** {@code zones} are the zones' names in the settings' order. */
  public ZoneEjectionController(
      ZoneEjectionSettings of,
      PolicySettings settings,
      List<String> zones,
      long seed,
      long now,
      GatewayPolicy gateway,
      PolicyActions host) {
    this.gateway = gateway;
    this.host = host;
    ballots = new CounterVoteTransport(host::addToCounter, zones, ZoneConsensus.WINDOW);
    boolean counted = settings.counter().present();
    ZoneEjectionSettings able =
        counted
            ? of
            : new ZoneEjectionSettings(
                ZoneEjectionSettings.Verdicts.ALONE, of.mostOut(), of.aloneAfter());
    agreement =
        new ZoneConsensus(
            new ZoneConsensus.Terms(
                able,
                settings.nodeIndex(),
                Math.max(1, settings.nodeCount()),
                zones,
                Math.min(1, settings.rules().slowStartInitialFraction()),
                WARM_RAMP,
                Math.max(WARM_RAMP, coldRamp(settings.rules()))),
            ballots,
            seed,
            now,
            this);
  }

  /**
   * The shortest span over which a zone's part may grow evenly from what cold servers can do to
   * all, though every server began anew at its begin and nobody knows it: the part stays below
   * {@link #SAFE} of what pushes a server over (design page, returning).
   */
  static long coldRamp(PlatformRules rules) {
    double part =
        (1 / (SAFE * Math.max(1, rules.overloadFactor())) - rules.slowStartInitialFraction())
            / Math.max(1e-9, 1 - rules.slowStartInitialFraction());
    return Math.max(1, (long) (rules.slowStartNanos() * Math.max(0, Math.min(1, part))));
  }

  /** As an event of the module's; {@code told} is whether discovery speaks. */
  public void tick(long at, boolean told) {
    now = at;
    agreement.tick(now, gateway.zoneHealth(now), told);
  }

  /** Whether a name of the counter is this one's. */
  public static boolean owns(long name) {
    return CounterVoteTransport.owns(name);
  }

  /** A call of its own to the counter has ended; as an event of the module's. */
  public void counted(long at, long name, Outcome outcome, double total) {
    now = at;
    ZoneVote ballot = ballots.ended(name);
    if (ballot != null && outcome == Outcome.OK) {
      agreement.tallied(now, ballot, total);
    } else if (ballot != null) {
      agreement.unanswered();
    }
  }

  /** Who decides, for what operators read and for the end of this process. */
  public ZoneConsensus agreement() {
    return agreement;
  }

  @Override
  public void course(int zone, TrafficRamp course) {
    gateway.setZoneRamp(now, zone, course);
  }

  @Override
  public void trial(int zone) {
    gateway.probeZone(now, zone);
  }

  @Override
  public void log(String text) {
    host.log(text);
  }
}
