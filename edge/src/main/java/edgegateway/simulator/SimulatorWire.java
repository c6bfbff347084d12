package edgegateway.simulator;

/**
 * Words of the simulator's wire. Each line is a word followed by values, separated by single
 * spaces. The simulator sends batches: {@link #BATCH_BEGIN} with the time, events, {@link
 * #BATCH_END}. The adapter answers each with its actions and {@link #REPLY_END}.
 */
final class SimulatorWire {
  static final String BATCH_BEGIN = "mark";
  static final String BATCH_END = "commit";
  static final String REPLY_END = "yield";

  /** Stands for a value that is not given. */
  static final String ABSENT = "-";

  static final String SEPARATOR = " ";
  static final String LIST_SEPARATOR = ",";

  /** Bit of a request's options: the client marked it as a retry. */
  static final long OPTION_CLIENT_RETRY = 2;

  private SimulatorWire() {}

  /** First words of events, with the values that follow. */
  static final class Events {
    /** {@code node seed path=value...}: a node starts, with its settings. */
    static final String NODE_STARTED = "start";

    /** {@code node}: a node was killed. */
    static final String NODE_STOPPED = "retire";

    /** {@code node revision kind count}, then {@code count} lines {@link #ENDPOINT}. */
    static final String ENDPOINTS_UPDATED = "view";

    /** {@code weight zone state started-at cell endpoint machine-type}. */
    static final String ENDPOINT = "entry";

    /**
     * {@code node request class plan customer deadline units node-count first-node options}: a
     * request was received.
     */
    static final String REQUEST_RECEIVED = "ingress";

    /**
     * {@code node request outcome duration endpoint complete attempt usage-percent true-units
     * load-report}: an attempt ended.
     */
    static final String ATTEMPT_ENDED = "resolved";

    /** {@code node request}: the client disconnected. */
    static final String CLIENT_DISCONNECTED = "client_gone";

    /** {@code node request attempt endpoint duration}: a streamed answer began. */
    static final String STREAM_STARTED = "under_way";

    /** {@code node total outcome key duration}: a call to the quota counter ended. */
    static final String COUNTER_REPLIED = "count_result";

    /** {@code node duration outcome endpoint load-report}: a health check ended. */
    static final String HEALTH_CHECKED = "probed";

    /** {@code node token}: a timer fired. */
    static final String TIMER_FIRED = "reminder";

    /** {@code node sender message}: a message of another node; not used. */
    static final String PEER_MESSAGE = "memo";

    private Events() {}
  }

  /** First words of actions, with the values that follow. */
  static final class Actions {
    /** {@code node request endpoint timeout}. */
    static final String SEND_ATTEMPT = "try";

    /** {@code node request retry-after}. */
    static final String REJECT = "decline";

    /** {@code node request}. */
    static final String FAIL = "surrender";

    /** {@code node endpoint}. */
    static final String HEALTH_CHECK = "inspect";

    /** {@code node lifetime amount key}. */
    static final String ADD_TO_COUNTER = "enter";

    /** {@code node token delay}. */
    static final String SCHEDULE_TIMER = "after";

    /** {@code node enable}. */
    static final String SUBSCRIBE_TO_ENDPOINTS = "subscribe";

    /** {@code node text}. */
    static final String LOG = "record";

    private Actions() {}
  }

  /** How an attempt, a health check or a call to the counter ended. */
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

  /** What an update of the endpoint list holds. */
  static final class ListKinds {
    static final int FULL = 0;
    static final int CACHED = 1;
    static final int DELTA = 2;
    static final int FAILED = 3;

    private ListKinds() {}
  }

  /** State of an endpoint. */
  static final class EndpointStates {
    static final int REMOVED = 0;
    static final int READY = 1;
    static final int DRAINING = 2;

    private EndpointStates() {}
  }
}
