package edgegateway.policy.admission;

import edgegateway.policy.control.Shares;
import edgegateway.policy.scheduling.FairQueue;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.scheduling.RequestClassQueue;
import edgegateway.policy.time.Durations;

/** Decides which requests to reject when a queue is too long to be served in time. */
public final class LoadShedder {
  /** The maximum wait in the queue is at least a quarter of the latency objective. */
  private static final int MIN_WAIT_OBJECTIVE_DIVISOR = 4;

  private final FairQueue queues;

  /** Creates a load shedder for the queues of all request classes. */
  public LoadShedder(FairQueue queues) {
    this.queues = queues;
  }

  /**
   * Returns the limit on the wait in a queue, by Little's law: a queue may hold as many requests as
   * are released within the maximum wait, at the class's share of the concurrency limit. The
   * maximum wait is the latency objective less two service times.
   *
   * @param concurrencyLimit the node's limit on concurrent attempts
   */
  public WaitLimit waitLimit(RequestClassQueue queue, double concurrencyLimit) {
    double serviceSeconds = queue.serviceTime().averageSeconds();
    double backloggedShare = Math.max(Shares.MIN_SHARE, queues.backloggedShare());
    double releasedPerSecond = concurrencyLimit / serviceSeconds * queue.share() / backloggedShare;
    double objectiveSeconds =
        queue.requestClass().latencyObjectiveNanos() * Durations.SECONDS_PER_NANO;
    double maxWaitSeconds =
        Math.max(
            objectiveSeconds - 2 * serviceSeconds, objectiveSeconds / MIN_WAIT_OBJECTIVE_DIVISOR);
    return new WaitLimit(releasedPerSecond, maxWaitSeconds);
  }

  /**
   * The limit on the wait in a queue.
   *
   * @param releasedPerSecond requests released from the queue per second
   * @param maxWaitSeconds the maximum wait
   */
  public record WaitLimit(double releasedPerSecond, double maxWaitSeconds) {
    /**
     * Whether the last request of a queue would wait too long; always false if it is the only one.
     */
    public boolean isExceededBy(RequestClassQueue queue) {
      return queue.size() > 1 && queue.size() / releasedPerSecond > maxWaitSeconds;
    }
  }

  /**
   * Returns the waiting request of the lowest value, the newest one if several have it; null if the
   * queue is empty.
   */
  public static PendingRequest lowestValueRequest(RequestClassQueue queue) {
    PendingRequest lowest = null;
    for (PendingRequest request : queue.waiting()) {
      if (lowest == null || request.value() <= lowest.value()) {
        lowest = request;
      }
    }
    return lowest;
  }
}
