package edgegateway.protocol;

/**
 * Keys and words of the settings, as the simulator's wire and the node's configuration spell them.
 * A setting that is absent, empty or {@code -} is 0, false or no text, unless said otherwise.
 * Durations are whole nanoseconds. The effect of each is that of the component it is read into.
 */
final class SettingKeys {
  /** Value of a setting that is not given. */
  static final String ABSENT = "-";

  /** Value of a text that switches something off. */
  static final String OFF = "off";

  /** Number of elements of a list of objects. */
  static final String COUNT_SUFFIX = ".count";

  /** Whole number from 0: index of this node, {@code PolicySettings.nodeIndex}. */
  static final String NODE_INDEX = "my-number";

  /** Whole number, at least 1 and 1 by default: {@code PolicySettings.nodeCount}. */
  static final String NODE_COUNT = "siblings";

  /** Index of a zone: {@code PolicySettings.localZone}. */
  static final String LOCAL_ZONE = "my-zone";

  /** Duration: minimum time between batches of events, {@code PolicySettings.tickNanos}. */
  static final String TICK_NANOS = "tick-ns";

  /** {@link #OFF}: endpoints' weights have no meaning. Else, and by default, they have one. */
  static final String ENDPOINT_WEIGHTS = "weights";

  /**
   * {@link #DISCOVERY_SUBSCRIBE}: changes of the endpoint list must be subscribed to. Else, and by
   * default, they come without.
   */
  static final String DISCOVERY = "discovery";

  /** Value of {@link #DISCOVERY}. */
  static final String DISCOVERY_SUBSCRIBE = "subscribe";

  private SettingKeys() {}

  /** Load reports of the endpoints. */
  static final class LoadReport {
    /** Names separated by commas, none by default: {@code PolicySettings.loadReportNames}. */
    static final String NAMES = "load-info.names";

    /** {@link SettingKeys#OFF}: there are no load reports, whatever the names. */
    static final String SOURCE = "load-info.source";

    private LoadReport() {}
  }

  /** An element of the list of request classes. */
  static final class RequestClasses {
    static final String LIST = "classes";

    /** Duration: {@code RequestClass.latencyObjectiveNanos}. */
    static final String LATENCY_OBJECTIVE_NANOS = "aim-ns";

    /** Duration: {@code RequestClass.clientTimeoutNanos}. */
    static final String CLIENT_TIMEOUT_NANOS = "deadline-ns";

    /** {@link #IDEMPOTENT} or {@link #KEYED}; else, and by default, not idempotent. */
    static final String IDEMPOTENCY = "idempotency";

    static final String IDEMPOTENT = "retryable";
    static final String KEYED = "dedup";

    /** {@link #SCOPE_ALL} or {@link #SCOPE_ZONE}; else, and by default, the cell. */
    static final String DEDUPLICATION_SCOPE = "group";

    static final String SCOPE_ALL = "all";
    static final String SCOPE_ZONE = "zone";

    /** Duration: {@code RequestClass.idempotencyKeyWindowNanos}. */
    static final String IDEMPOTENCY_KEY_WINDOW_NANOS = "key-ttl-ns";

    /** Fraction, 0 to 1: {@code RequestClass.lateValueFraction}. */
    static final String LATE_VALUE_FRACTION = "late-value";

    /** Number above 0: {@code RequestClass.priorityWeight}. */
    static final String PRIORITY_WEIGHT = "worth";

    private RequestClasses() {}
  }

  /** An element of the list of quota plans. */
  static final class QuotaPlans {
    static final String LIST = "tariffs";

    /** Units per second, 0 for no quota: {@code QuotaPlan.unitsPerSecond}. */
    static final String UNITS_PER_SECOND = "units-per-s";

    /** Units: {@code QuotaPlan.burstUnits}. */
    static final String BURST_UNITS = "peak-units";

    /** Whole number, 0 for no limit: {@code QuotaPlan.maxConcurrentAttempts}. */
    static final String MAX_CONCURRENT_ATTEMPTS = "at-once";

    /** Number: {@code QuotaPlan.priorityFactor}. */
    static final String PRIORITY_FACTOR = "price";

    /** Fraction: {@code QuotaPlan.overQuotaValueFraction}. */
    static final String OVER_QUOTA_VALUE_FRACTION = "beyond-earns";

    /** Fraction: {@code QuotaPlan.overQuotaCostFraction}. */
    static final String OVER_QUOTA_COST_FRACTION = "beyond-costs";

    /** Units per second, 0 for no ceiling: {@code QuotaPlan.ceilingUnitsPerSecond}. */
    static final String CEILING_UNITS_PER_SECOND = "hard-rate";

    /** Units: {@code QuotaPlan.ceilingBurstUnits}. */
    static final String CEILING_BURST_UNITS = "hard-burst";

    /** Units: {@code QuotaPlan.ceilingSlackUnits}. */
    static final String CEILING_SLACK_UNITS = "hard-slack";

    private QuotaPlans() {}
  }

  /** What the site allows a node. */
  static final class Limits {
    /** Whole number: {@code RequestLimits.maxAttempts}. */
    static final String MAX_ATTEMPTS = "caps.max-attempts";

    /** Whole number: {@code RequestLimits.maxInFlight}. */
    static final String MAX_IN_FLIGHT = "caps.max-open";

    /** Truth value: {@code RequestLimits.healthChecksAllowed}. */
    static final String HEALTH_CHECKS_ALLOWED = "caps.probes";

    /** Truth value: {@code RequestLimits.retryAfterAllowed}. */
    static final String RETRY_AFTER_ALLOWED = "caps.retry-after";

    /** Duration: {@code RequestLimits.maxRetryAfterNanos}. */
    static final String MAX_RETRY_AFTER_NANOS = "caps.max-retry-after-ns";

    private Limits() {}
  }

  /** The shared quota counter. */
  static final class Counter {
    /** Truth value: {@code CounterSettings.configured}. */
    static final String CONFIGURED = "domain.has-counter";

    /** Duration: {@code CounterSettings.timeoutNanos}. */
    static final String TIMEOUT_NANOS = "domain.count-wait-ns";

    /** Truth value: {@code CounterSettings.reportsActualUnits}. */
    static final String REPORTS_ACTUAL_UNITS = "domain.trued-up";

    /** Units: {@code CounterSettings.maxRequestUnits}. */
    static final String MAX_REQUEST_UNITS = "domain.units-top";

    private Counter() {}
  }

  /** Guarantees and limits of the platform. */
  static final class Rules {
    /** Duration: {@code PlatformRules.deadlineGraceNanos}. */
    static final String DEADLINE_GRACE_NANOS = "rules.answer-slack-ns";

    /** Fraction, 0 to 1: {@code PlatformRules.slowStartInitialFraction}. */
    static final String SLOW_START_INITIAL_FRACTION = "rules.cold-from";

    /** Duration: {@code PlatformRules.slowStartNanos}. */
    static final String SLOW_START_NANOS = "rules.ramp-time-ns";

    /** Number: {@code PlatformRules.overloadFactor}. */
    static final String OVERLOAD_FACTOR = "rules.overload-factor";

    /** Duration: {@code PlatformRules.overloadDurationNanos}. */
    static final String OVERLOAD_DURATION_NANOS = "rules.tip-after-ns";

    private Rules() {}
  }
}
