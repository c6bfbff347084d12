package edgegateway.node;

import edgegateway.node.counter.CounterClient;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.api.PolicyActions;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Executes the policy's actions on sockets and timers; used on the event loop's thread only. */
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
  public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {
    InFlightRequest request = requests.beginAttempt(requestId);
    if (request != null) {
      upstreamPool.send(request, endpointId, timeoutNanos);
    }
  }

  @Override
  public void reject(String requestId, long retryAfterNanos) {
    requests.reject(requestId, retryAfterNanos);
  }

  @Override
  public void fail(String requestId) {
    requests.fail(requestId);
  }

  @Override
  public void healthCheck(String endpointId) {
    // The platform allows no health checks. The policy requests one only if the settings allow it.
  }

  @Override
  public void addToCounter(long key, double amount, long lifetimeNanos) {
    counter.add(key, amount, lifetimeNanos);
  }

  /** Also records how late the timer fires, that is for how long the event loop was busy. */
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
    // DiscoveryClient watches discovery from the start and opens a new watch when one ends.
  }

  @Override
  public void log(String line) {
    System.out.println(line);
  }
}
