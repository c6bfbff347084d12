package edgegateway.node;

import edgegateway.node.counter.CounterClient;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.api.PolicyActions;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Carries the policy's actions to the sockets and timers; for the event loop's thread. */
final class NodePolicyActions implements PolicyActions {
  private final EventLoop loop;
  private final PolicyEventLoop policyEvents;
  private final InFlightRequestTable requests;
  private final UpstreamPool upstreamPool;
  private final CounterClient counter;
  private final NodeMetrics metrics;
  private final EventLoopStallDetector stallDetector;

  NodePolicyActions(
      EventLoop loop,
      PolicyEventLoop policyEvents,
      InFlightRequestTable requests,
      UpstreamPool upstreamPool,
      CounterClient counter,
      NodeMetrics metrics,
      EventLoopStallDetector stallDetector) {
    this.loop = loop;
    this.policyEvents = policyEvents;
    this.requests = requests;
    this.upstreamPool = upstreamPool;
    this.counter = counter;
    this.metrics = metrics;
    this.stallDetector = stallDetector;
  }

  @Override
  public void sendAttempt(String id, String server, long timeoutNanos) {
    InFlightRequest request = requests.beginAttempt(id);
    if (request != null) {
      upstreamPool.send(request, server, timeoutNanos);
    }
  }

  @Override
  public void reject(String id, long retryAfterNanos) {
    requests.reject(id, retryAfterNanos);
  }

  @Override
  public void fail(String id) {
    requests.fail(id);
  }

  @Override
  public void healthCheck(String server) {
    // The platform allows no health checks; the policy asks only where the settings allow them.
  }

  @Override
  public void addToCounter(long name, double amount, long lifetimeNanos) {
    counter.add(name, amount, lifetimeNanos);
  }

  /** Also tells how late the timer came: for that long the loop was at something else. */
  @Override
  public void scheduleTimer(long token, long delayNanos) {
    long dueNanos = System.nanoTime() + delayNanos;
    loop.schedule(
        () -> {
          long firedNanos = System.nanoTime();
          stallDetector.timerFired(firedNanos);
          metrics.timerFiredLate(firedNanos - dueNanos);
          policyEvents.run((policy, now) -> policy.timerFired(now, token));
        },
        delayNanos,
        TimeUnit.NANOSECONDS);
  }

  @Override
  public void subscribeToEndpoints() {
    // Discovery is watched from the start and again whenever a watch ends.
  }

  @Override
  public void log(String text) {
    System.out.println(text);
  }
}
