package edgegateway.protocol;

/**
 * Keys of the settings and their predefined values, as in the simulator's wire and the node's
 * configuration. A setting that is missing, empty or {@code -} is 0, false or an empty text, unless
 * its comment says otherwise. Durations are nanoseconds; integers and durations are rounded. A
 * boolean is true if its text is {@code true} or {@code 1}. The component of the settings that is
 * named with a key explains its effect.
 */
final class SettingKeys {
  /** Value of a setting that is not specified. */
  static final String ABSENT = "-";

  /** Value that disables a feature. */
  static final String OFF = "off";

  /** After the key of a list of objects: the number of its elements. */
  static final String COUNT_SUFFIX = ".count";

  /** Integer, at least 0: {@code PolicySettings.nodeIndex}. */
  static final String NODE_INDEX = "my-number";

  /** Integer, at least 1 and 1 by default: {@code PolicySettings.nodeCount}. */
  static final String NODE_COUNT = "siblings";

  /** Integer: {@code PolicySettings.localZone}. */
  static final String LOCAL_ZONE = "my-zone";

  /** Duration: {@code PolicySettings.tickNanos}. */
  static final String TICK_NANOS = "tick-ns";

  /**
   * {@link #OFF} for false; any other value, and by default, true: {@code
   * PolicySettings.endpointWeightsUsed}.
   */
  static final String ENDPOINT_WEIGHTS = "weights";

  /**
   * {@link #DISCOVERY_SUBSCRIBE} for true; any other value, and by default, false: {@code
   * RequestLimits.subscribesToEndpoints}.
   */
  static final String DISCOVERY = "discovery";

  /** Value of {@link #DISCOVERY}. */
  static final String DISCOVERY_SUBSCRIBE = "subscribe";

  private SettingKeys() {}

  /** Load reports of the endpoints. */
  static final class LoadReport {
    /** Names separated by commas, none by default: {@code PolicySettings.loadReportNames}. */
    static final String NAMES = "load-info.names";

    /** {@link SettingKeys#OFF}: there are no load reports, even if {@link #NAMES} is set. */
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

    /**
     * {@link #IDEMPOTENT} or {@link #KEYED}; any other value, and by default, not idempotent:
     * {@code RequestClass.idempotency}.
     */
    static final String IDEMPOTENCY = "idempotency";

    static final String IDEMPOTENT = "retryable";
    static final String KEYED = "dedup";

    /**
     * {@link #SCOPE_ALL} or {@link #SCOPE_ZONE}; any other value, and by default, the cell: {@code
     * RequestClass.deduplicationScope}.
     */
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

    /** Integer, 0 for no limit: {@code QuotaPlan.maxConcurrentAttempts}. */
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

  /** Limits on the requests of a node. */
  static final class Limits {
    /** Integer: {@code RequestLimits.maxAttempts}. */
    static final String MAX_ATTEMPTS = "caps.max-attempts";

    /** Integer: {@code RequestLimits.maxInFlight}. */
    static final String MAX_IN_FLIGHT = "caps.max-open";

    /** Boolean: {@code RequestLimits.healthChecksAllowed}. */
    static final String HEALTH_CHECKS_ALLOWED = "caps.probes";

    /** Boolean: {@code RequestLimits.retryAfterAllowed}. */
    static final String RETRY_AFTER_ALLOWED = "caps.retry-after";

    /** Duration: {@code RequestLimits.maxRetryAfterNanos}. */
    static final String MAX_RETRY_AFTER_NANOS = "caps.max-retry-after-ns";

    private Limits() {}
  }

  /** The shared quota counter. */
  static final class Counter {
    /** Boolean: {@code CounterSettings.configured}. */
    static final String CONFIGURED = "domain.has-counter";

    /** Duration: {@code CounterSettings.timeoutNanos}. */
    static final String TIMEOUT_NANOS = "domain.count-wait-ns";

    /** Boolean: {@code CounterSettings.reportsActualUnits}. */
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
