package edgegateway.policy.admission;

import edgegateway.policy.control.Shares;
import edgegateway.policy.scheduling.FairQueue;
import edgegateway.policy.scheduling.PendingRequest;
import edgegateway.policy.scheduling.RequestClassQueue;
import edgegateway.policy.time.Durations;

/** Decides which request to reject from a queue that is too long to be answered in time. */
public final class LoadShedder {
  /** The wait in the queue may always take this part of the latency objective. */
  private static final int MIN_WAIT_PARTS_OF_OBJECTIVE = 4;

  private final FairQueue queues;

  /** Creates a load shedder for the queues of all classes. */
  public LoadShedder(FairQueue queues) {
    this.queues = queues;
  }

  /**
   * How many requests may wait in a queue, by Little's law: as many as are released, at the class's
   * share of the concurrency limit, within the latency objective less two service times.
   *
   * @param concurrencyLimit the node's limit on concurrent attempts
   * @return the limit on the wait in that queue
   */
  public WaitLimit waitLimit(RequestClassQueue queue, double concurrencyLimit) {
    double serviceSeconds = queue.serviceTime().averageSeconds();
    double backlogged = Math.max(Shares.MIN_SHARE, queues.backloggedShare());
    double releasedPerSecond = concurrencyLimit / serviceSeconds * queue.share() / backlogged;
    double objectiveSeconds =
        queue.requestClass().latencyObjectiveNanos() * Durations.SECONDS_PER_NANO;
    double maxWaitSeconds =
        Math.max(
            objectiveSeconds - 2 * serviceSeconds, objectiveSeconds / MIN_WAIT_PARTS_OF_OBJECTIVE);
    return new WaitLimit(releasedPerSecond, maxWaitSeconds);
  }

  /**
   * The limit on the wait in a queue.
   *
   * @param releasedPerSecond requests of the queue released a second
   * @param maxWaitSeconds the longest wait
   */
  public record WaitLimit(double releasedPerSecond, double maxWaitSeconds) {
    /** Whether the last request of a queue would wait too long; never if it is the only one. */
    public boolean isExceededBy(RequestClassQueue queue) {
      return queue.size() > 1 && queue.size() / releasedPerSecond > maxWaitSeconds;
    }
  }

  /** The waiting request of the least value; of several the newest. */
  public static PendingRequest lowestValueRequest(RequestClassQueue queue) {
    PendingRequest least = null;
    for (PendingRequest request : queue.waiting()) {
      if (least == null || request.value() <= least.value()) {
        least = request;
      }
    }
    return least;
  }
}
