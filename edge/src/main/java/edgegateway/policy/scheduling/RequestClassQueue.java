package edgegateway.policy.scheduling;

import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.control.ClassIntervalStatistics;
import edgegateway.policy.control.ShareController;
import edgegateway.policy.time.Durations;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The queue of one request class, with its finish tag and the statistics of its attempts. */
public final class RequestClassQueue {
  private final int index;
  private final RequestClass requestClass;
  private final ClassIntervalStatistics statistics;
  private final ShareController shares;
  private final ServiceTimeEstimate serviceTime;
  private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
  private double finishTag;

  RequestClassQueue(
      int index,
      RequestClass requestClass,
      ClassIntervalStatistics statistics,
      ShareController shares) {
    this.index = index;
    this.requestClass = requestClass;
    this.statistics = statistics;
    this.shares = shares;
    serviceTime = new ServiceTimeEstimate(requestClass);
  }

  /** The request class of the queue. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** The share of the class in the fair queue, above 0; all sum to 1. */
  public double share() {
    return shares.share(index);
  }

  /** The estimate of the service time of the class's requests. */
  public ServiceTimeEstimate serviceTime() {
    return serviceTime;
  }

  /** The number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /** The waiting requests, oldest first; the queue must not be changed during the iteration. */
  public Iterable<PendingRequest> waiting() {
    return waiting;
  }

  /** Counts a request that was received, whether or not it will be queued. */
  void requestArrived() {
    statistics.requestArrived();
  }

  /** Adds a request at the end of the queue. */
  public void add(PendingRequest request) {
    waiting.add(request);
  }

  /** Removes a request that is not sent; does nothing if it is not in this queue. */
  public void remove(PendingRequest request) {
    waiting.remove(request);
  }

  /** Returns the waiting requests that fulfil a condition, oldest first, as a new list. */
  public List<PendingRequest> matching(Predicate<PendingRequest> condition) {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<PendingRequest> matching = new ArrayList<>();
    for (PendingRequest request : waiting) {
      if (condition.test(request)) {
        matching.add(request);
      }
    }
    return matching;
  }

  /** The oldest request that may be sent; null if there is none. */
  PendingRequest firstSendable() {
    for (PendingRequest request : waiting) {
      if (request.isSendPermitted()) {
        return request;
      }
    }
    return null;
  }

  /**
   * The start tag of a request if it is dequeued now. It is not set at arrival, so that a changed
   * share also affects the requests that are queued already.
   */
  double startTag(PendingRequest request) {
    return Math.max(request.virtualTimeAtArrival(), finishTag);
  }

  /** Removes a request that is sent, and sets the finish tag to its start tag plus 1 / share. */
  void dequeue(PendingRequest request, double startTag) {
    waiting.remove(request);
    finishTag = startTag + 1 / share();
  }

  /** Adds an attempt that ended to the statistics, unless it was cancelled or not sent. */
  public void attemptEnded(PendingRequest request, AttemptResult result, long nowNanos) {
    Outcome outcome = result.outcome();
    double serviceSeconds = result.durationNanos() * Durations.SECONDS_PER_NANO;
    if (outcome == Outcome.OK) {
      serviceTime.attemptSucceeded(serviceSeconds, request.units());
      statistics.attemptSucceeded(
          request.reservation().quota().plan().priorityFactor() * request.units(),
          (nowNanos - request.arrivedAtNanos()) * Durations.SECONDS_PER_NANO,
          (request.sentAtNanos() - request.arrivedAtNanos()) * Durations.SECONDS_PER_NANO,
          serviceSeconds);
    } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
      boolean timedOutBeforeObjective =
          outcome == Outcome.TIMEOUT && nowNanos < request.objectiveAtNanos();
      statistics.attemptFailed(serviceSeconds, timedOutBeforeObjective);
    }
  }

  /** Resets the statistics at the start of a control interval. */
  void resetStatistics() {
    statistics.reset();
  }
}
