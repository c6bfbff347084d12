package edgegateway.testbed.workload;

import edgegateway.testbed.checker.HistoryEvent;
import java.util.List;

/**
 * The behavior of clients, independent of the transport: the edge node, id, deadline and retries of
 * each request. Times are nanoseconds of the caller's clock; not thread-safe.
 */
public final class ClientBehavior {
  /**
   * How long after its deadline a client still waits for the response, so that the history tells a
   * late response from a missing one.
   */
  public static final long LATE_RESPONSE_WAIT_NANOS = 500_000_000L;

  private final List<String> nodes;
  private final List<WorkloadClass> classes;
  private final List<CustomerPlan> plans;
  private final ClientRetryPolicy retryPolicy;
  private final FrontLoadBalancer front;

  /**
   * Starts with all nodes up.
   *
   * @param nodes the names of the edge nodes
   * @param detectionNanos time from the first failed connection to a node until the front load
   *     balancer removes the node
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

  /** The load balancer that picks the edge node of each attempt. */
  public FrontLoadBalancer front() {
    return front;
  }

  /** The number of edge nodes. */
  public int nodeCount() {
    return nodes.size();
  }

  /** Creates the first attempt of a request that arrives now. */
  public ClientRequest firstAttempt(RequestArrival arrival, long nowNanos) {
    return new ClientRequest(arrival, 0, 0, nowNanos);
  }

  /** One attempt of a request. */
  public final class ClientRequest {
    private final RequestArrival arrival;
    private final String id;
    private final int attempt;
    private final int spread;
    private final int node;
    private long deadlineNanos;
    private boolean sent;

    /** {@code firstDeadlineNanos} is the first attempt's deadline; 0 for the first attempt. */
    private ClientRequest(
        RequestArrival arrival, int attempt, long firstDeadlineNanos, long nowNanos) {
      this.arrival = arrival;
      this.attempt = attempt;
      id = ClientRetryPolicy.attemptId(arrival.id(), attempt);
      deadlineNanos = firstDeadlineNanos;
      spread = Math.min(plans.get(arrival.plan()).spread(), nodes.size());
      node = front.pick(nowNanos, arrival, spread);
    }

    /** The request that this is an attempt of. */
    public RequestArrival arrival() {
      return arrival;
    }

    /** The id of this attempt. */
    public String id() {
      return id;
    }

    /** The index of the edge node that this attempt is sent to. */
    public int node() {
      return node;
    }

    /** The number of consecutive edge nodes that the customer's requests come through. */
    public int spread() {
      return spread;
    }

    /** The request's class. */
    public WorkloadClass requestClass() {
      return classes.get(arrival.requestClass());
    }

    /** The customer's plan. */
    public CustomerPlan plan() {
      return plans.get(arrival.plan());
    }

    /** When the client stops waiting; 0 until the first attempt was written or has failed. */
    public long deadlineNanos() {
      return deadlineNanos;
    }

    /** Whether this attempt was written to a connection. */
    public boolean sent() {
      return sent;
    }

    /**
     * Records that this attempt is about to be written to a connection, and sets the deadline if
     * the request has none.
     *
     * @return whether this is the attempt's first write
     */
    public boolean markSent(long nowNanos) {
      boolean firstWrite = !sent;
      sent = true;
      deadlineNanos = deadlineNanos == 0 ? nowNanos + arrival.deadline() : deadlineNanos;
      return firstWrite;
    }

    /** Returns the history event for a write of this attempt. */
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
     * Returns the backoff before {@link #nextAttempt} after this attempt failed, in nanoseconds, or
     * -1 if the client doesn't retry. If no attempt was written so far, the deadline starts now.
     *
     * @param retryAfterNanos the response's {@code Retry-After}, in nanoseconds; 0 for none
     */
    public long retryDelayNanos(long nowNanos, long retryAfterNanos) {
      deadlineNanos = deadlineNanos == 0 ? nowNanos + arrival.deadline() : deadlineNanos;
      return retryPolicy.delayNanos(
          arrival.id(), attempt + 1, retryAfterNanos, deadlineNanos - nowNanos);
    }

    /** Creates the next attempt; called when the backoff is over. */
    public ClientRequest nextAttempt(long nowNanos) {
      return new ClientRequest(arrival, attempt + 1, deadlineNanos, nowNanos);
    }
  }
}
