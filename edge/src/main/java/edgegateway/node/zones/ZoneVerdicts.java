package edgegateway.node.zones;

import edgegateway.policy.Gateway;
import edgegateway.policy.api.Actions;
import edgegateway.policy.api.Course;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Rules;
import edgegateway.policy.api.Settings;
import java.util.List;

/**
 * Joins the agreement on zones to a node's module and to its shared counter; its host calls it as
 * it calls the module.
 */
public final class ZoneVerdicts implements ZoneAgreement.Actions {
  /** How often {@link #tick} is to be called, nanoseconds. */
  public static final long TICK = 100_000_000L;

  /** A returning zone gets no more than this part of what would push a cold server over. */
  private static final double SAFE = 0.8;

  /**
   * Discovery tells of a new start within about a second: where all are known to be warm, most of
   * the ramp lies behind that.
   */
  private static final long WARM_RAMP = 2_000_000_000L;

  private final Gateway gateway;
  private final Actions host;
  private final CounterBallots ballots;
  private final ZoneAgreement agreement;

  /** Of the event that is on. */
  private long now;

  /** {@code zones} are the zones' names in the settings' order. */
  public ZoneVerdicts(
      ZoneSettings of,
      Settings settings,
      List<String> zones,
      long seed,
      long now,
      Gateway gateway,
      Actions host) {
    this.gateway = gateway;
    this.host = host;
    ballots = new CounterBallots(host::count, zones, ZoneAgreement.WINDOW);
    boolean counted = settings.counter().present();
    ZoneSettings able =
        counted ? of : new ZoneSettings(ZoneSettings.Verdicts.ALONE, of.mostOut(), of.aloneAfter());
    agreement =
        new ZoneAgreement(
            new ZoneAgreement.Terms(
                able,
                settings.me(),
                Math.max(1, settings.siblings()),
                zones,
                Math.min(1, settings.rules().coldFrom()),
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
  static long coldRamp(Rules rules) {
    double part =
        (1 / (SAFE * Math.max(1, rules.fallMultiple())) - rules.coldFrom())
            / Math.max(1e-9, 1 - rules.coldFrom());
    return Math.max(1, (long) (rules.coldSpan() * Math.max(0, Math.min(1, part))));
  }

  /** As an event of the module's; {@code told} is whether discovery speaks. */
  public void tick(long at, boolean told) {
    now = at;
    agreement.tick(now, gateway.zoneEvidence(now), told);
  }

  /** Whether a name of the counter is this one's. */
  public static boolean owns(long name) {
    return CounterBallots.owns(name);
  }

  /** A call of its own to the counter has ended; as an event of the module's. */
  public void counted(long at, long name, Outcome outcome, double total) {
    now = at;
    Ballot ballot = ballots.ended(name);
    if (ballot != null && outcome == Outcome.OK) {
      agreement.tallied(now, ballot, total);
    } else if (ballot != null) {
      agreement.unanswered();
    }
  }

  /** Who decides, for what operators read and for the end of this process. */
  public ZoneAgreement agreement() {
    return agreement;
  }

  @Override
  public void course(int zone, Course course) {
    gateway.zoneCourse(now, zone, course);
  }

  @Override
  public void trial(int zone) {
    gateway.tryZone(now, zone);
  }

  @Override
  public void log(String text) {
    host.log(text);
  }
}
