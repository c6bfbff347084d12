package edgegateway.testbed.workload;

import edgegateway.testbed.checker.HistoryEvent;
import java.util.List;

/**
 * How clients ask, whatever carries their requests: by which edge node, under which id, until when,
 * and when again. Times are nanoseconds of the caller's clock; not thread-safe.
 */
public final class ClientBehavior {
  /**
   * So long after its time a client still looks for the answer, to tell one that is late from none;
   * nanoseconds.
   */
  public static final long LATE_RESPONSE_WAIT_NANOS = 500_000_000L;

  private final List<String> nodes;
  private final List<WorkloadClass> classes;
  private final List<CustomerPlan> plans;
  private final ClientRetryPolicy retryPolicy;
  private final FrontLoadBalancer front;

  /**
   * All nodes are up; {@code notice} is how long the front sends to a dead one after its first
   * refusal.
   */
  public ClientBehavior(
      List<String> nodes,
      List<WorkloadClass> classes,
      List<CustomerPlan> plans,
      ClientRetryPolicy retryPolicy,
      long detectionNanos) {
    this.nodes = nodes;
    this.classes = classes;
    this.plans = plans;
    this.retryPolicy = retryPolicy;
    front = new FrontLoadBalancer(nodes.size(), detectionNanos);
  }

  /** What it knows of the edge nodes. */
  public FrontLoadBalancer front() {
    return front;
  }

  /** How many edge nodes there are. */
  public int nodes() {
    return nodes.size();
  }

  /** The first try of a request that arrives now. */
  public ClientRequest first(RequestArrival arrival, long nowNanos) {
    return new ClientRequest(arrival, 0, 0, nowNanos);
  }

  /** One try of a request. */
  public final class ClientRequest {
    private final RequestArrival arrival;
    private final String id;
    private final int attempt;
    private final int spread;
    private final int node;
    private long deadlineNanos;
    private boolean sent;

    /** {@code until} is the first try's deadline; 0 for the first one itself. */
    private ClientRequest(
        RequestArrival arrival, int attempt, long firstDeadlineNanos, long nowNanos) {
      this.arrival = arrival;
      this.attempt = attempt;
      id = ClientRetryPolicy.id(arrival.id(), attempt);
      deadlineNanos = firstDeadlineNanos;
      spread = Math.min(plans.get(arrival.plan()).spread(), nodes.size());
      node = front.pick(nowNanos, arrival, spread);
    }

    /** The request. */
    public RequestArrival arrival() {
      return arrival;
    }

    /** The try's own id. */
    public String id() {
      return id;
    }

    /** The number of the edge node that is asked. */
    public int node() {
      return node;
    }

    /** Through how many edge nodes in a row its customer comes. */
    public int spread() {
      return spread;
    }

    /** Its class. */
    public WorkloadClass requestClass() {
      return classes.get(arrival.requestClass());
    }

    /** Its plan. */
    public CustomerPlan plan() {
      return plans.get(arrival.plan());
    }

    /** When its client stops waiting; told once it was written. */
    public long deadlineNanos() {
      return deadlineNanos;
    }

    /** Whether it was written to a connection. */
    public boolean sent() {
      return sent;
    }

    /** It is about to be written; whether for the first time. */
    public boolean markSent(long nowNanos) {
      boolean first = !sent;
      sent = true;
      deadlineNanos = deadlineNanos == 0 ? nowNanos + arrival.deadline() : deadlineNanos;
      return first;
    }

    /** That it was written, for the judge. */
    public HistoryEvent.RequestSent sentEvent(long nowNanos) {
      return new HistoryEvent.RequestSent(
          nowNanos,
          id,
          nodes.get(node),
          arrival.customer(),
          arrival.plan(),
          arrival.requestClass(),
          deadlineNanos);
    }

    /**
     * It came to nothing now: how long its client pauses before {@link #nextAttempt}, in
     * nanoseconds, or -1 if it asks no more. Who never reached a node has all its time from now on.
     *
     * @param retryAfterNanos as it was told, in nanoseconds; 0 for none
     */
    public long retryDelayNanos(long nowNanos, long retryAfterNanos) {
      deadlineNanos = deadlineNanos == 0 ? nowNanos + arrival.deadline() : deadlineNanos;
      return retryPolicy.delayNanos(
          arrival.id(), attempt + 1, retryAfterNanos, deadlineNanos - nowNanos);
    }

    /** The next try, after its pause. */
    public ClientRequest nextAttempt(long nowNanos) {
      return new ClientRequest(arrival, attempt + 1, deadlineNanos, nowNanos);
    }
  }
}
