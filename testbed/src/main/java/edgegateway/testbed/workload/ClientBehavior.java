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
  public static final long LINGER = 500_000_000L;

  private final List<String> nodes;
  private final List<WorkloadClass> classes;
  private final List<CustomerPlan> plans;
  private final ClientRetryPolicy retries;
  private final FrontLoadBalancer front;

  /**
   * All nodes are up; {@code notice} is how long the front sends to a dead one after its first
   * refusal.
   */
  public ClientBehavior(
      List<String> nodes,
      List<WorkloadClass> classes,
      List<CustomerPlan> plans,
      ClientRetryPolicy retries,
      long notice) {
    this.nodes = nodes;
    this.classes = classes;
    this.plans = plans;
    this.retries = retries;
    front = new FrontLoadBalancer(nodes.size(), notice);
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
  public ClientRequest first(RequestArrival of, long now) {
    return new ClientRequest(of, 0, 0, now);
  }

  /** One try of a request. */
  public final class ClientRequest {
    private final RequestArrival of;
    private final String id;
    private final int number;
    private final int spread;
    private final int node;
    private long deadline;
    private boolean asked;

    /** {@code until} is the first try's deadline; 0 for the first one itself. */
    private ClientRequest(RequestArrival of, int number, long until, long now) {
      this.of = of;
      this.number = number;
      id = ClientRetryPolicy.id(of.id(), number);
      deadline = until;
      spread = Math.min(plans.get(of.plan()).spread(), nodes.size());
      node = front.pick(now, of, spread);
    }

    /** The request. */
    public RequestArrival of() {
      return of;
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
      return classes.get(of.requestClass());
    }

    /** Its plan. */
    public CustomerPlan plan() {
      return plans.get(of.plan());
    }

    /** When its client stops waiting; told once it was written. */
    public long deadline() {
      return deadline;
    }

    /** Whether it was written to a connection. */
    public boolean asked() {
      return asked;
    }

    /** It is about to be written; whether for the first time. */
    public boolean write(long now) {
      boolean first = !asked;
      asked = true;
      deadline = deadline == 0 ? now + of.deadline() : deadline;
      return first;
    }

    /** That it was written, for the judge. */
    public HistoryEvent.RequestSent event(long now) {
      return new HistoryEvent.RequestSent(
          now, id, nodes.get(node), of.customer(), of.plan(), of.requestClass(), deadline);
    }

    /**
     * It came to nothing now: how long its client pauses before {@link #again}, in nanoseconds, or
     * -1 if it asks no more. Who never reached a node has all its time from now on.
     *
     * @param advice as it was told, in nanoseconds; 0 for none
     */
    public long pause(long now, long advice) {
      deadline = deadline == 0 ? now + of.deadline() : deadline;
      return retries.pause(of.id(), number + 1, advice, deadline - now);
    }

    /** The next try, after its pause. */
    public ClientRequest again(long now) {
      return new ClientRequest(of, number + 1, deadline, now);
    }
  }
}
