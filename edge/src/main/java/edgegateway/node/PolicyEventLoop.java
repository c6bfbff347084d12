package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.policy.GatewayPolicy;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs the policy's events one at a time on the node's event loop and provides the policy's clock.
 *
 * <p>The policy is not reentrant, but a socket may report an event while the policy executes an
 * action, that is within another event. Such an event is deferred to the event loop's next
 * iteration. An exception thrown by an event is logged and does not end the process, so that a
 * failure of one request does not affect the others.
 *
 * <p>All methods but {@link #nowNanos} must be called on the event loop's thread.
 */
final class PolicyEventLoop {
  /** An event of the policy. */
  interface PolicyEvent {
    /**
     * Calls the policy.
     *
     * @param policy null if the policy has not been started
     * @param nowNanos the time of the event on the policy's clock
     */
    void run(GatewayPolicy policy, long nowNanos);
  }

  private static final EventLog LOG = EventLog.console();
  private static final Runnable NO_OP = () -> {};

  private final EventLoop loop;

  /** Makes the policy's clock start at the wall clock's time and advance without jumps. */
  private final long clockOffsetNanos =
      TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

  private GatewayPolicy policy;
  private boolean inEvent;

  PolicyEventLoop(EventLoop loop) {
    this.loop = loop;
  }

  /** Sets the policy that receives the events from now on. */
  void start(GatewayPolicy newPolicy) {
    policy = newPolicy;
  }

  /** The policy, for queries outside of events; null if it has not been started. */
  GatewayPolicy policy() {
    return policy;
  }

  /** The time on the policy's clock, in nanoseconds since the epoch. For any thread. */
  long nowNanos() {
    return System.nanoTime() + clockOffsetNanos;
  }

  /** Runs an event now, or in the event loop's next iteration if another event is running. */
  void run(PolicyEvent event) {
    run(event, NO_OP);
  }

  /** Like {@link #run(PolicyEvent)}; runs {@code onFailure} if the event throws an exception. */
  void run(PolicyEvent event, Runnable onFailure) {
    if (inEvent) {
      loop.execute(() -> run(event, onFailure));
      return;
    }
    inEvent = true;
    try {
      event.run(policy, nowNanos());
    } catch (RuntimeException e) {
      LOG.warn("policy_event_failed", field("error", e));
      onFailure.run();
    } finally {
      inEvent = false;
    }
  }

  /** Schedules a task for a time on the policy's clock; a time in the past means now. */
  Future<?> scheduleAt(long timeNanos, Runnable task) {
    return loop.schedule(task, Math.max(0, timeNanos - nowNanos()), TimeUnit.NANOSECONDS);
  }
}
