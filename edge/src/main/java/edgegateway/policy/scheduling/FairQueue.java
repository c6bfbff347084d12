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
 * Start-time fair queueing over the request classes. Among the oldest sendable request of each
 * class, the one with the lowest start tag is dequeued next; the virtual time is the start tag of
 * the request dequeued last. The cost of each request is 1, divided by the share of its class.
 */
public final class FairQueue {
  private final EventClock clock;
  private final List<RequestClassQueue> queues = new ArrayList<>();
  private double virtualTime;

  /**
   * Creates an empty queue for each request class.
   *
   * @param classes the request classes
   * @param statistics the statistics of each class, in the order of {@code classes}
   * @param shares the share of each class, by its index in {@code classes}
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

  /** The queues of the request classes, in the order of the classes. */
  public List<RequestClassQueue> queues() {
    return queues;
  }

  /**
   * Creates a request that arrives now, and counts it in the statistics of its class. It is not
   * queued yet.
   */
  public PendingRequest newRequest(
      Request request, QuotaReservation reservation, SendPermit permit) {
    RequestClassQueue queue = queues.get(request.requestClass());
    queue.requestArrived();
    return new PendingRequest(request, queue, reservation, permit, clock.nowNanos(), virtualTime);
  }

  /** The request to be sent next, which stays queued; null if none may be sent. */
  public PendingRequest next() {
    PendingRequest next = null;
    double lowestStartTag = 0;
    for (RequestClassQueue queue : queues) {
      PendingRequest first = queue.firstSendable();
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

  /** Removes the request that {@link #next} returned, and advances the virtual time. */
  public void dequeue(PendingRequest next) {
    RequestClassQueue queue = next.queue();
    virtualTime = queue.startTag(next);
    queue.dequeue(next, virtualTime);
  }

  /** The sum of the shares of all classes in which requests wait, 0 to 1. */
  public double backloggedShare() {
    // DoubleStream.sum compensates for rounding errors; a plain loop does not.
    return queues.stream().mapToDouble(queue -> queue.size() == 0 ? 0 : queue.share()).sum();
  }

  /** Resets the statistics of all classes at the start of a control interval. */
  public void resetStatistics() {
    queues.forEach(RequestClassQueue::resetStatistics);
  }

  /** The average service time of each class, in seconds, in the order of the classes. */
  public List<Double> averageServiceSeconds() {
    List<Double> averages = new ArrayList<>(queues.size());
    for (RequestClassQueue queue : queues) {
      averages.add(queue.serviceTime().averageSeconds());
    }
    return averages;
  }

  /**
   * Sets the average service times, in seconds, to those of the process that this one replaces.
   *
   * @param averages one per class; surplus values are ignored, and classes without one keep theirs
   */
  public void setAverageServiceSeconds(List<Double> averages) {
    for (int i = 0; i < Math.min(queues.size(), averages.size()); i++) {
      queues.get(i).serviceTime().setAverageSeconds(averages.get(i));
    }
  }
}
