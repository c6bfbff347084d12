package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.policy.GatewayPolicy;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Runs the policy's events one at a time on the node's event loop, with the policy's clock.
 *
 * <p>The policy must not be entered twice, and sockets may report within an action, that is within
 * an event: such a report waits for the event loop's next turn. An event that throws is logged and
 * ends no process: one request's failure is not the others'.
 *
 * <p>All methods but {@link #nowNanos} are for the event loop's thread.
 */
final class PolicyEventLoop {
  /** One event of the policy. */
  interface PolicyEvent {
    /**
     * Calls the policy.
     *
     * @param policy null if it was not started yet
     * @param nowNanos the time of the event on the policy's clock
     */
    void run(GatewayPolicy policy, long nowNanos);
  }

  private static final EventLog LOG = EventLog.console();
  private static final Runnable NOTHING_TO_DO = () -> {};

  private final EventLoop loop;

  /** The wall clock's time at the start, going on by the clock that never jumps. */
  private final long clockOffsetNanos =
      TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

  private GatewayPolicy policy;
  private boolean inEvent;

  PolicyEventLoop(EventLoop loop) {
    this.loop = loop;
  }

  /** From now on events go to this policy. */
  void start(GatewayPolicy started) {
    policy = started;
  }

  /** The policy, for what it is asked outside of events; null if it was not started yet. */
  GatewayPolicy policy() {
    return policy;
  }

  /** The time on the policy's clock, in nanoseconds since the epoch; any thread. */
  long nowNanos() {
    return System.nanoTime() + clockOffsetNanos;
  }

  /** Runs an event now, or in the loop's next turn if one is running. */
  void run(PolicyEvent event) {
    run(event, NOTHING_TO_DO);
  }

  /** As {@link #run(PolicyEvent)}; {@code onFailure} is run if the event throws. */
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

  /** Runs a task at a time on the policy's clock; at once if that has passed. */
  Future<?> scheduleAt(long timeNanos, Runnable task) {
    return loop.schedule(task, Math.max(0, timeNanos - nowNanos()), TimeUnit.NANOSECONDS);
  }
}
