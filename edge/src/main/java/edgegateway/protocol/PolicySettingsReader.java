package edgegateway.protocol;

import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.RequestLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads {@link PolicySettings} from text values by path, for the simulator's wire and the node's
 * configuration. The paths are those of {@link SettingKeys}; others are ignored.
 */
public final class PolicySettingsReader {
  private final Map<String, String> valuesByPath;

  private PolicySettingsReader(Map<String, String> valuesByPath) {
    this.valuesByPath = valuesByPath;
  }

  /**
   * Reads the settings from a line of the simulator's wire.
   *
   * @param fields the fields of the line
   * @param firstPair index of the first field of the form {@code path=value}; all that follow have
   *     this form
   * @throws InvalidSettingException if a field has another form or a number cannot be parsed
   */
  public static PolicySettings read(String[] fields, int firstPair) {
    Map<String, String> valuesByPath = new HashMap<>();
    for (int i = firstPair; i < fields.length; i++) {
      int equals = fields[i].indexOf('=');
      if (equals < 1) {
        throw InvalidSettingException.notAPair(fields[i]);
      }
      valuesByPath.put(fields[i].substring(0, equals), fields[i].substring(equals + 1));
    }
    return read(valuesByPath);
  }

  /**
   * Reads the settings from values by path. A list of objects has its length under {@code
   * <list>.count} and its elements below {@code <list>.<index>}; the plain values of a list are
   * separated by commas.
   *
   * @throws InvalidSettingException if a number cannot be parsed
   */
  public static PolicySettings read(Map<String, String> valuesByPath) {
    return new PolicySettingsReader(valuesByPath).settings();
  }

  private PolicySettings settings() {
    List<RequestClass> requestClasses = list(SettingKeys.RequestClasses.LIST, this::requestClass);
    List<QuotaPlan> quotaPlans = list(SettingKeys.QuotaPlans.LIST, this::quotaPlan);
    return new PolicySettings(
        intValue(SettingKeys.NODE_INDEX),
        (int) Math.max(1, longValue(SettingKeys.NODE_COUNT)),
        intValue(SettingKeys.LOCAL_ZONE),
        longValue(SettingKeys.TICK_NANOS),
        !text(SettingKeys.ENDPOINT_WEIGHTS).equals(SettingKeys.OFF),
        loadReportNames(),
        requestClasses,
        quotaPlans,
        limits(),
        counter(),
        rules());
  }

  /** Reads each element of a list of objects with its prefix {@code <list>.<index>.}. */
  private <T> List<T> list(String key, Function<String, T> elementReader) {
    List<T> elements = new ArrayList<>();
    for (int index = 0; index < longValue(key + SettingKeys.COUNT_SUFFIX); index++) {
      elements.add(elementReader.apply(key + "." + index + "."));
    }
    return List.copyOf(elements);
  }

  private RequestClass requestClass(String prefix) {
    return new RequestClass(
        longValue(prefix + SettingKeys.RequestClasses.LATENCY_OBJECTIVE_NANOS),
        longValue(prefix + SettingKeys.RequestClasses.CLIENT_TIMEOUT_NANOS),
        idempotency(text(prefix + SettingKeys.RequestClasses.IDEMPOTENCY)),
        deduplicationScope(text(prefix + SettingKeys.RequestClasses.DEDUPLICATION_SCOPE)),
        longValue(prefix + SettingKeys.RequestClasses.IDEMPOTENCY_KEY_WINDOW_NANOS),
        doubleValue(prefix + SettingKeys.RequestClasses.LATE_VALUE_FRACTION),
        doubleValue(prefix + SettingKeys.RequestClasses.PRIORITY_WEIGHT));
  }

  private static Idempotency idempotency(String value) {
    return switch (value) {
      case SettingKeys.RequestClasses.IDEMPOTENT -> Idempotency.IDEMPOTENT;
      case SettingKeys.RequestClasses.KEYED -> Idempotency.KEYED;
      default -> Idempotency.NOT_IDEMPOTENT;
    };
  }

  private static DeduplicationScope deduplicationScope(String value) {
    return switch (value) {
      case SettingKeys.RequestClasses.SCOPE_ALL -> DeduplicationScope.ALL;
      case SettingKeys.RequestClasses.SCOPE_ZONE -> DeduplicationScope.ZONE;
      default -> DeduplicationScope.CELL;
    };
  }

  private QuotaPlan quotaPlan(String prefix) {
    return new QuotaPlan(
        doubleValue(prefix + SettingKeys.QuotaPlans.UNITS_PER_SECOND),
        doubleValue(prefix + SettingKeys.QuotaPlans.BURST_UNITS),
        intValue(prefix + SettingKeys.QuotaPlans.MAX_CONCURRENT_ATTEMPTS),
        doubleValue(prefix + SettingKeys.QuotaPlans.PRIORITY_FACTOR),
        doubleValue(prefix + SettingKeys.QuotaPlans.OVER_QUOTA_VALUE_FRACTION),
        doubleValue(prefix + SettingKeys.QuotaPlans.OVER_QUOTA_COST_FRACTION),
        doubleValue(prefix + SettingKeys.QuotaPlans.CEILING_UNITS_PER_SECOND),
        doubleValue(prefix + SettingKeys.QuotaPlans.CEILING_BURST_UNITS),
        doubleValue(prefix + SettingKeys.QuotaPlans.CEILING_SLACK_UNITS));
  }

  private List<String> loadReportNames() {
    String names = text(SettingKeys.LoadReport.NAMES);
    boolean noLoadReports =
        text(SettingKeys.LoadReport.SOURCE).equals(SettingKeys.OFF)
            || names.isEmpty()
            || names.equals(SettingKeys.ABSENT);
    return noLoadReports ? List.of() : List.of(names.split(","));
  }

  private RequestLimits limits() {
    return new RequestLimits(
        intValue(SettingKeys.Limits.MAX_ATTEMPTS),
        intValue(SettingKeys.Limits.MAX_IN_FLIGHT),
        booleanValue(SettingKeys.Limits.HEALTH_CHECKS_ALLOWED),
        booleanValue(SettingKeys.Limits.RETRY_AFTER_ALLOWED),
        longValue(SettingKeys.Limits.MAX_RETRY_AFTER_NANOS),
        text(SettingKeys.DISCOVERY).equals(SettingKeys.DISCOVERY_SUBSCRIBE));
  }

  private CounterSettings counter() {
    return new CounterSettings(
        booleanValue(SettingKeys.Counter.CONFIGURED),
        longValue(SettingKeys.Counter.TIMEOUT_NANOS),
        booleanValue(SettingKeys.Counter.REPORTS_ACTUAL_UNITS),
        doubleValue(SettingKeys.Counter.MAX_REQUEST_UNITS));
  }

  private PlatformRules rules() {
    return new PlatformRules(
        longValue(SettingKeys.Rules.DEADLINE_GRACE_NANOS),
        doubleValue(SettingKeys.Rules.SLOW_START_INITIAL_FRACTION),
        longValue(SettingKeys.Rules.SLOW_START_NANOS),
        doubleValue(SettingKeys.Rules.OVERLOAD_FACTOR),
        longValue(SettingKeys.Rules.OVERLOAD_DURATION_NANOS));
  }

  private String text(String path) {
    return valuesByPath.getOrDefault(path, "");
  }

  private boolean booleanValue(String path) {
    return text(path).equals("true") || text(path).equals("1");
  }

  private int intValue(String path) {
    return (int) longValue(path);
  }

  private long longValue(String path) {
    return Math.round(doubleValue(path));
  }

  private double doubleValue(String path) {
    String value = text(path);
    if (value.isEmpty() || value.equals(SettingKeys.ABSENT)) {
      return 0;
    }
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw InvalidSettingException.notANumber(path);
    }
  }
}
