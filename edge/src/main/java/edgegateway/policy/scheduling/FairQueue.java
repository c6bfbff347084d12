package edgegateway.policy.scheduling;

import edgegateway.policy.api.Request;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.control.ClassIntervalStatistics;
import edgegateway.policy.control.ShareController;
import edgegateway.policy.quota.QuotaReservation;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.List;

/**
 * Start-time fair queueing over the request classes: of the classes' oldest requests the one with
 * the lowest start tag is released next, and the virtual time is the start tag of the last one
 * released. Each request counts 1, divided by its class's share.
 */
public final class FairQueue {
  private final EventClock clock;
  private final List<RequestClassQueue> queues = new ArrayList<>();
  private double virtualTime;

  /**
   * Creates empty queues.
   *
   * @param classes the request classes
   * @param statistics those of each class, in the same order
   * @param shares gives the share of each class, by the same order
   */
  public FairQueue(
      EventClock clock,
      List<RequestClass> classes,
      List<ClassIntervalStatistics> statistics,
      ShareController shares) {
    this.clock = clock;
    for (int i = 0; i < classes.size(); i++) {
      queues.add(new RequestClassQueue(i, classes.get(i), statistics.get(i), shares));
    }
  }

  /** The queue of each request class. */
  public List<RequestClassQueue> queues() {
    return queues;
  }

  /** Creates a request that arrives now; it is not queued yet. */
  public PendingRequest newRequest(
      Request request, QuotaReservation reservation, SendPermit permit) {
    RequestClassQueue queue = queues.get(request.requestClass());
    queue.requestArrived();
    return new PendingRequest(request, queue, reservation, permit, clock.nowNanos(), virtualTime);
  }

  /** The request to be released next; null if none may be sent. */
  public PendingRequest next() {
    PendingRequest next = null;
    double lowestStartTag = 0;
    for (RequestClassQueue queue : queues) {
      PendingRequest first = queue.first();
      if (first == null) {
        continue;
      }
      double startTag = queue.startTag(first);
      if (next == null || startTag < lowestStartTag) {
        next = first;
        lowestStartTag = startTag;
      }
    }
    return next;
  }

  /** Removes the request that {@link #next} returned, as it is sent. */
  public void dequeue(PendingRequest next) {
    RequestClassQueue queue = next.queue();
    virtualTime = queue.startTag(next);
    queue.dequeue(next, virtualTime);
  }

  /** The shares of all classes in which requests wait, 0 to 1. */
  public double backloggedShare() {
    // Not a plain loop: a stream's sum compensates rounding.
    return queues.stream().mapToDouble(queue -> queue.size() == 0 ? 0 : queue.share()).sum();
  }

  /** Begins the next control interval. */
  public void resetStatistics() {
    queues.forEach(RequestClassQueue::resetStatistics);
  }

  /** The average service time of each class, in seconds. */
  public List<Double> averageServiceSeconds() {
    List<Double> averages = new ArrayList<>(queues.size());
    for (RequestClassQueue queue : queues) {
      averages.add(queue.serviceTime().averageSeconds());
    }
    return averages;
  }

  /** Goes on from the averages (in seconds) of the process that this one replaces. */
  public void setAverageServiceSeconds(List<Double> averages) {
    for (int i = 0; i < Math.min(queues.size(), averages.size()); i++) {
      queues.get(i).serviceTime().setAverageSeconds(averages.get(i));
    }
  }
}
