package edgegateway.node;

import edgegateway.node.zones.ZoneEjectionState;
import edgegateway.policy.api.ZoneStatus;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The text that operators get for {@code zones}: a line for each zone. Not thread-safe. */
final class ZoneReport {
  private final StringBuilder text = new StringBuilder();
  private final long nowNanos;

  /** {@code nowNanos} is the time on the policy's clock. */
  ZoneReport(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /**
   * Adds a line.
   *
   * @param decision the fleet's decision; null where zones are ejected by operators alone
   */
  void add(String name, ZoneStatus zone, ZoneEjectionState decision) {
    // An operator's word goes before the fleet's.
    ZoneEjectionState fleet = zone.byOperator() ? null : decision;
    text.append(
        String.format(
            Locale.ROOT,
            "%s state=%s share=%.2f servers=%d usable=%d",
            name,
            fleet == null ? trafficLabel(zone) : stateLabel(fleet.state()),
            zone.trafficFraction(),
            zone.listedEndpoints(),
            zone.usableEndpoints()));
    long sinceNanos = fleet == null ? zone.sinceNanos() : fleet.sinceNanos();
    if (sinceNanos != 0) {
      text.append(" since_s=").append(TimeUnit.NANOSECONDS.toSeconds(nowNanos - sinceNanos));
    }
    if (zone.byOperator()) {
      text.append(" why=hand");
    } else if (fleet != null) {
      appendReason(fleet);
    }
    text.append('\n');
  }

  private void appendReason(ZoneEjectionState fleet) {
    String reason =
        switch (fleet.decidedBy()) {
          case NONE -> null;
          case FLEET -> "fleet";
          case ALONE -> "alone";
        };
    if (reason != null) {
      text.append(" why=").append(reason);
      text.append(" witnesses=").append(fleet.votes());
      text.append(" relapses=").append(fleet.relapses());
    }
  }

  private static String trafficLabel(ZoneStatus zone) {
    if (zone.trafficFraction() == 0) {
      return "out";
    }
    return zone.trafficFraction() < 1 ? "returning" : "in";
  }

  private static String stateLabel(ZoneEjectionState.State state) {
    return switch (state) {
      case IN -> "in";
      case SUSPECT -> "suspect";
      case LEAVING -> "leaving";
      case OUT -> "out";
      case RETURNING -> "returning";
    };
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
