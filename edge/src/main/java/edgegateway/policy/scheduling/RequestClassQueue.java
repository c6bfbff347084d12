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

/** The queue of one request class, with its finish tag and what its requests take. */
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

  /** The class. */
  public RequestClass requestClass() {
    return requestClass;
  }

  /** The share of the class in the fair queue, above 0; all sum to 1. */
  public double share() {
    return shares.share(index);
  }

  /** What requests of the class take. */
  public ServiceTimeEstimate serviceTime() {
    return serviceTime;
  }

  /** How many requests wait. */
  public int size() {
    return waiting.size();
  }

  /** The requests that wait, the oldest first; it must not be changed while it is read. */
  public Iterable<PendingRequest> waiting() {
    return waiting;
  }

  /** Counts a request that was received, whether it will be queued or not. */
  void requestArrived() {
    statistics.requestArrived();
  }

  /** Appends a request. */
  public void add(PendingRequest request) {
    waiting.add(request);
  }

  /** Removes a request if it waits here. */
  public void remove(PendingRequest request) {
    waiting.remove(request);
  }

  /** Returns the waiting requests that a condition holds for, the oldest first. */
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
  PendingRequest first() {
    for (PendingRequest request : waiting) {
      if (request.mayBeSent()) {
        return request;
      }
    }
    return null;
  }

  /**
   * The start tag of a request if it is released now: not set at its arrival, so that a changed
   * share acts on what is queued too.
   */
  double startTag(PendingRequest first) {
    return Math.max(first.virtualTimeAtArrival(), finishTag);
  }

  /** Removes a request that is sent, and sets the finish tag by the class's share. */
  void release(PendingRequest request, double startTag) {
    waiting.remove(request);
    finishTag = startTag + 1 / share();
  }

  /** Counts the end of an attempt that was sent and not cancelled. */
  public void attemptEnded(PendingRequest request, AttemptResult result, long nowNanos) {
    Outcome outcome = result.outcome();
    double seconds = result.durationNanos() * Durations.SECONDS_PER_NANO;
    if (outcome == Outcome.OK) {
      serviceTime.attemptSucceeded(seconds, request.units());
      statistics.attemptSucceeded(
          request.reservation().quota().plan().priorityFactor() * request.units(),
          (nowNanos - request.arrivedNanos()) * Durations.SECONDS_PER_NANO,
          (request.sentAtNanos() - request.arrivedNanos()) * Durations.SECONDS_PER_NANO,
          seconds);
    } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
      boolean cutShort = outcome == Outcome.TIMEOUT && nowNanos < request.objectiveNanos();
      statistics.attemptFailed(seconds, cutShort);
    }
  }

  /** Begins the next control interval. */
  void resetStatistics() {
    statistics.reset();
  }
}
