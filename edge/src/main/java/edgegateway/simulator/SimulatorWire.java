package edgegateway.simulator;

/**
 * Keywords and values of the simulator's line protocol. Each line is a keyword followed by values,
 * separated by single spaces. The simulator sends batches: a line {@link #BATCH_BEGIN} with the
 * time, any number of events, and a line {@link #BATCH_END}. The adapter replies to each batch with
 * the resulting actions and a line {@link #REPLY_END}. Times and durations are nanoseconds.
 */
final class SimulatorWire {
  static final String BATCH_BEGIN = "mark";
  static final String BATCH_END = "commit";
  static final String REPLY_END = "yield";

  /** A value that is not specified. */
  static final String ABSENT = "-";

  static final String SEPARATOR = " ";
  static final String LIST_SEPARATOR = ",";

  /** Bit of a request's options: the client marked the request as a retry. */
  static final long OPTION_CLIENT_RETRY = 2;

  private SimulatorWire() {}

  /** Keywords of events. Each comment lists the values that follow the keyword. */
  static final class Events {
    /** {@code node seed path=value...}: a node started with these settings. */
    static final String NODE_STARTED = "start";

    /** {@code node}: a node stopped; its policy is discarded. */
    static final String NODE_STOPPED = "retire";

    /**
     * {@code node revision kind count}, followed by {@code count} lines {@link #ENDPOINT}: the
     * endpoint list was received, or not, as {@link ListKinds} says.
     */
    static final String ENDPOINTS_UPDATED = "view";

    /** {@code weight zone state started-at cell endpoint machine-type}: an entry of that list. */
    static final String ENDPOINT = "entry";

    /**
     * {@code node request class plan customer deadline units customer-node-count
     * first-customer-node options}: a request was received.
     */
    static final String REQUEST_RECEIVED = "ingress";

    /**
     * {@code node request outcome duration endpoint request-complete attempt usage-percent
     * actual-units load-report}: an attempt ended. The usage percentage is ignored.
     */
    static final String ATTEMPT_ENDED = "resolved";

    /** {@code node request}: the client disconnected. */
    static final String CLIENT_DISCONNECTED = "client_gone";

    /** {@code node request attempt endpoint duration}: streaming of the response started. */
    static final String STREAM_STARTED = "under_way";

    /** {@code node total outcome key duration}: a call to the shared quota counter ended. */
    static final String COUNTER_REPLIED = "count_result";

    /** {@code node duration outcome endpoint load-report}: a health check ended. */
    static final String HEALTH_CHECKED = "probed";

    /** {@code node token}: a timer fired. */
    static final String TIMER_FIRED = "reminder";

    /** {@code node sender message}: another node sent a message; ignored. */
    static final String PEER_MESSAGE = "memo";

    private Events() {}
  }

  /** Keywords of actions. Each comment lists the values that follow the keyword. */
  static final class Actions {
    /** {@code node request endpoint timeout}: starts an attempt. */
    static final String SEND_ATTEMPT = "try";

    /** {@code node request retry-after}: rejects a request. */
    static final String REJECT = "decline";

    /** {@code node request}: answers that a request failed. */
    static final String FAIL = "surrender";

    /** {@code node endpoint}: starts a health check. */
    static final String HEALTH_CHECK = "inspect";

    /** {@code node lifetime amount key}: adds to a total of the shared quota counter. */
    static final String ADD_TO_COUNTER = "enter";

    /** {@code node token delay}: schedules a timer. */
    static final String SCHEDULE_TIMER = "after";

    /** {@code node enable}: subscribes to changes of the endpoint list. */
    static final String SUBSCRIBE_TO_ENDPOINTS = "subscribe";

    /** {@code node text}: writes a log line. */
    static final String LOG = "record";

    private Actions() {}
  }

  /** Values for the {@link edgegateway.policy.api.Outcome} of an attempt, health check or call. */
  static final class Outcomes {
    static final String OK = "S";
    static final String ERROR = "E";
    static final String REJECTED = "F";
    static final String TIMEOUT = "T";
    static final String CONNECT_FAILED = "C";
    static final String RESET = "R";
    static final String CANCELLED = "X";
    static final String NOT_SENT = "N";

    private Outcomes() {}
  }

  /** Values for the {@link edgegateway.policy.api.EndpointListKind} of an update. */
  static final class ListKinds {
    static final int FULL = 0;
    static final int CACHED = 1;
    static final int DELTA = 2;
    static final int FAILED = 3;

    private ListKinds() {}
  }

  /** Values for the {@link edgegateway.policy.api.EndpointState} of an endpoint. */
  static final class EndpointStates {
    static final int REMOVED = 0;
    static final int READY = 1;
    static final int DRAINING = 2;

    private EndpointStates() {}
  }
}
