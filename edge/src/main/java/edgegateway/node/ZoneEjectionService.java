package edgegateway.node;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.zones.ZoneEjectionController;
import edgegateway.node.zones.ZoneEjectionState;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.PolicyActions;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Runs this node's part in the fleet's ejection of zones: the periodic tick, replies of the shared
 * counter to votes, and metrics. If, by the configuration, only operators eject zones, it only
 * passes the counter's replies to the policy. Used on the event loop's thread only.
 */
final class ZoneEjectionService {
  /**
   * Discovery sends a line at least every 2 s; after this time without one its list may be stale.
   */
  private static final long MAX_DISCOVERY_MESSAGE_AGE_MILLIS = 2_500;

  private final EventLoop loop;
  private final PolicyEventLoop policyEvents;
  private final NodeMetrics metrics;

  /** Null before {@link #start}, and if only operators eject zones. */
  private ZoneEjectionController controller;

  ZoneEjectionService(EventLoop loop, PolicyEventLoop policyEvents, NodeMetrics metrics) {
    this.loop = loop;
    this.policyEvents = policyEvents;
    this.metrics = metrics;
  }

  /** Starts the periodic tick if the configuration has the object {@code zones}. */
  void start(NodeConfig config, GatewayPolicy policy, PolicyActions actions) {
    if (config.zones() == null) {
      return;
    }
    controller =
        new ZoneEjectionController(
            config.zones(),
            config.settings(),
            config.names().zones(),
            config.seed(),
            policyEvents.nowNanos(),
            policy,
            actions);
    loop.scheduleAtFixedRate(
        this::tick,
        ZoneEjectionController.TICK_INTERVAL_NANOS,
        ZoneEjectionController.TICK_INTERVAL_NANOS,
        TimeUnit.NANOSECONDS);
  }

  private void tick() {
    policyEvents.run(
        (policy, now) ->
            controller.tick(
                now, metrics.millisSinceDiscoveryMessage() < MAX_DISCOVERY_MESSAGE_AGE_MILLIS));
  }

  /** Passes the end of a counter call to the votes on zones or, for a quota, to the policy. */
  void counterReplied(long key, Outcome outcome, double total) {
    metrics.counterCallEnded(outcome == Outcome.OK);
    boolean isVote = controller != null && ZoneEjectionController.ownsCounterKey(key);
    policyEvents.run(
        (policy, now) -> {
          if (isVote) {
            controller.counterReplied(now, key, outcome, total);
          } else {
            policy.counterReplied(now, key, outcome, total);
          }
        });
  }

  /** Ends voting, because this process ends. */
  void stopVoting() {
    if (controller != null) {
      controller.consensus().stopVoting();
    }
  }

  /** The fleet's decision on a zone; null if only operators eject zones. */
  ZoneEjectionState decision(int zone) {
    return controller == null ? null : controller.consensus().state(zone);
  }

  void updateMetrics() {
    if (controller != null) {
      metrics.zonesChanged(
          controller.consensus().ejectedZones(),
          controller.consensus().voteCalls(),
          controller.consensus().probes());
    }
  }
}
