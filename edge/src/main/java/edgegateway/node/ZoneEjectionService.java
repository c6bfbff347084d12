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
 * The ejection of zones by the fleet within this node: its timer, its replies of the counter and
 * its metrics. Does nothing where the configuration leaves zones to operators alone. For the event
 * loop's thread.
 */
final class ZoneEjectionService {
  /** Discovery sends a line at least each 2 s. */
  private static final long DISCOVERY_HEARD_MILLIS = 2_500;

  private final EventLoop loop;
  private final PolicyEventLoop policyEvents;
  private final NodeMetrics metrics;

  /** Null before {@link #start}, and where zones are ejected by operators alone. */
  private ZoneEjectionController controller;

  ZoneEjectionService(EventLoop loop, PolicyEventLoop policyEvents, NodeMetrics metrics) {
    this.loop = loop;
    this.policyEvents = policyEvents;
    this.metrics = metrics;
  }

  /** Begins if the configuration has the object {@code zones}. */
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
        ZoneEjectionController.TICK_NANOS,
        ZoneEjectionController.TICK_NANOS,
        TimeUnit.NANOSECONDS);
  }

  private void tick() {
    policyEvents.run(
        (policy, now) ->
            controller.tick(now, metrics.millisSinceDiscoveryMessage() < DISCOVERY_HEARD_MILLIS));
  }

  /** A call to the counter ended; it belongs to the zones' votes or to the policy's quotas. */
  void counterReplied(long name, Outcome outcome, double total) {
    metrics.counterCallEnded(outcome == Outcome.OK);
    boolean vote = controller != null && ZoneEjectionController.ownsCounterKey(name);
    policyEvents.run(
        (policy, now) -> {
          if (vote) {
            controller.counterReplied(now, name, outcome, total);
          } else {
            policy.counterReplied(now, name, outcome, total);
          }
        });
  }

  /** This process ends and votes no more. */
  void stopVoting() {
    if (controller != null) {
      controller.consensus().stopVoting();
    }
  }

  /** The fleet's decision on a zone; null where zones are ejected by operators alone. */
  ZoneEjectionState decision(int zone) {
    return controller == null ? null : controller.consensus().state(zone);
  }

  /** Brings the metrics up to date. */
  void updateMetrics() {
    if (controller != null) {
      metrics.zonesChanged(
          controller.consensus().ejectedZones(),
          controller.consensus().voteCalls(),
          controller.consensus().probes());
    }
  }
}
