package edgegateway.node;

import edgegateway.node.zones.ZoneEjectionState;
import edgegateway.policy.api.ZoneStatus;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Builds the reply to the operators' call {@code zones}, one line per zone. Not thread-safe. */
final class ZoneReport {
  private final StringBuilder text = new StringBuilder();
  private final long nowNanos;

  /** Creates an empty report; {@code nowNanos} is the time on the policy's clock. */
  ZoneReport(long nowNanos) {
    this.nowNanos = nowNanos;
  }

  /**
   * Adds the line of a zone.
   *
   * @param decision the fleet's decision; null if only operators eject zones
   */
  void add(String name, ZoneStatus zone, ZoneEjectionState decision) {
    // An operator's decision overrides the fleet's.
    ZoneEjectionState fleetDecision = zone.byOperator() ? null : decision;
    text.append(
        String.format(
            Locale.ROOT,
            "%s state=%s share=%.2f servers=%d usable=%d",
            name,
            fleetDecision == null ? trafficLabel(zone) : stateLabel(fleetDecision.state()),
            zone.trafficFraction(),
            zone.listedEndpoints(),
            zone.usableEndpoints()));
    long sinceNanos = fleetDecision == null ? zone.sinceNanos() : fleetDecision.sinceNanos();
    if (sinceNanos != 0) {
      text.append(" since_s=").append(TimeUnit.NANOSECONDS.toSeconds(nowNanos - sinceNanos));
    }
    if (zone.byOperator()) {
      text.append(" why=hand");
    } else if (fleetDecision != null) {
      appendReason(fleetDecision);
    }
    text.append('\n');
  }

  private void appendReason(ZoneEjectionState decision) {
    String reason =
        switch (decision.decidedBy()) {
          case NONE -> null;
          case FLEET -> "fleet";
          case ALONE -> "alone";
        };
    if (reason != null) {
      text.append(" why=").append(reason);
      text.append(" witnesses=").append(decision.votes());
      text.append(" relapses=").append(decision.relapses());
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
