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
 * Reads {@link PolicySettings} from pairs of path and value; unknown paths are ignored. The
 * simulator's wire and the node's configuration share it. The paths are those of {@link
 * SettingKeys}.
 */
public final class PolicySettingsReader {
  private final Map<String, String> pairs;

  private PolicySettingsReader(Map<String, String> pairs) {
    this.pairs = pairs;
  }

  /**
   * Reads the settings from the words of a line of the simulator's wire.
   *
   * @param words the words of the line
   * @param from index of the first {@code path=value}
   * @throws InvalidSettingException if a word is no such pair or a number cannot be read
   */
  public static PolicySettings read(String[] words, int from) {
    Map<String, String> pairs = new HashMap<>();
    for (int i = from; i < words.length; i++) {
      int equals = words[i].indexOf('=');
      if (equals < 1) {
        throw InvalidSettingException.notAPair(words[i]);
      }
      pairs.put(words[i].substring(0, equals), words[i].substring(equals + 1));
    }
    return read(pairs);
  }

  /**
   * Reads the settings from pairs of path and value. A list of objects has its length under {@code
   * <list>.count} and its elements under {@code <list>.<index>.}; plain values of a list are
   * separated by commas.
   *
   * @throws InvalidSettingException if a number cannot be read
   */
  public static PolicySettings read(Map<String, String> pairs) {
    return new PolicySettingsReader(pairs).settings();
  }

  private PolicySettings settings() {
    List<RequestClass> requestClasses = list(SettingKeys.RequestClasses.LIST, this::requestClass);
    List<QuotaPlan> quotaPlans = list(SettingKeys.QuotaPlans.LIST, this::quotaPlan);
    return new PolicySettings(
        integer(SettingKeys.NODE_INDEX),
        (int) Math.max(1, whole(SettingKeys.NODE_COUNT)),
        integer(SettingKeys.LOCAL_ZONE),
        whole(SettingKeys.TICK_NANOS),
        !text(SettingKeys.ENDPOINT_WEIGHTS).equals(SettingKeys.OFF),
        loadReportNames(),
        requestClasses,
        quotaPlans,
        limits(),
        counter(),
        rules());
  }

  /** The elements of a list of objects, each read at its prefix {@code <list>.<index>.}. */
  private <T> List<T> list(String key, Function<String, T> element) {
    List<T> elements = new ArrayList<>();
    for (int index = 0; index < whole(key + SettingKeys.COUNT_SUFFIX); index++) {
      elements.add(element.apply(key + "." + index + "."));
    }
    return List.copyOf(elements);
  }

  private RequestClass requestClass(String prefix) {
    return new RequestClass(
        whole(prefix + SettingKeys.RequestClasses.LATENCY_OBJECTIVE_NANOS),
        whole(prefix + SettingKeys.RequestClasses.CLIENT_TIMEOUT_NANOS),
        idempotency(text(prefix + SettingKeys.RequestClasses.IDEMPOTENCY)),
        deduplicationScope(text(prefix + SettingKeys.RequestClasses.DEDUPLICATION_SCOPE)),
        whole(prefix + SettingKeys.RequestClasses.IDEMPOTENCY_KEY_WINDOW_NANOS),
        number(prefix + SettingKeys.RequestClasses.LATE_VALUE_FRACTION),
        number(prefix + SettingKeys.RequestClasses.PRIORITY_WEIGHT));
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
        number(prefix + SettingKeys.QuotaPlans.UNITS_PER_SECOND),
        number(prefix + SettingKeys.QuotaPlans.BURST_UNITS),
        integer(prefix + SettingKeys.QuotaPlans.MAX_CONCURRENT_ATTEMPTS),
        number(prefix + SettingKeys.QuotaPlans.PRIORITY_FACTOR),
        number(prefix + SettingKeys.QuotaPlans.OVER_QUOTA_VALUE_FRACTION),
        number(prefix + SettingKeys.QuotaPlans.OVER_QUOTA_COST_FRACTION),
        number(prefix + SettingKeys.QuotaPlans.CEILING_UNITS_PER_SECOND),
        number(prefix + SettingKeys.QuotaPlans.CEILING_BURST_UNITS),
        number(prefix + SettingKeys.QuotaPlans.CEILING_SLACK_UNITS));
  }

  private List<String> loadReportNames() {
    String names = text(SettingKeys.LoadReport.NAMES);
    boolean none =
        text(SettingKeys.LoadReport.SOURCE).equals(SettingKeys.OFF)
            || names.isEmpty()
            || names.equals(SettingKeys.ABSENT);
    return none ? List.of() : List.of(names.split(","));
  }

  private RequestLimits limits() {
    return new RequestLimits(
        integer(SettingKeys.Limits.MAX_ATTEMPTS),
        integer(SettingKeys.Limits.MAX_IN_FLIGHT),
        flag(SettingKeys.Limits.HEALTH_CHECKS_ALLOWED),
        flag(SettingKeys.Limits.RETRY_AFTER_ALLOWED),
        whole(SettingKeys.Limits.MAX_RETRY_AFTER_NANOS),
        text(SettingKeys.DISCOVERY).equals(SettingKeys.DISCOVERY_SUBSCRIBE));
  }

  private CounterSettings counter() {
    return new CounterSettings(
        flag(SettingKeys.Counter.CONFIGURED),
        whole(SettingKeys.Counter.TIMEOUT_NANOS),
        flag(SettingKeys.Counter.REPORTS_ACTUAL_UNITS),
        number(SettingKeys.Counter.MAX_REQUEST_UNITS));
  }

  private PlatformRules rules() {
    return new PlatformRules(
        whole(SettingKeys.Rules.DEADLINE_GRACE_NANOS),
        number(SettingKeys.Rules.SLOW_START_INITIAL_FRACTION),
        whole(SettingKeys.Rules.SLOW_START_NANOS),
        number(SettingKeys.Rules.OVERLOAD_FACTOR),
        whole(SettingKeys.Rules.OVERLOAD_DURATION_NANOS));
  }

  private String text(String path) {
    return pairs.getOrDefault(path, "");
  }

  private boolean flag(String path) {
    return text(path).equals("true") || text(path).equals("1");
  }

  private int integer(String path) {
    return (int) whole(path);
  }

  private long whole(String path) {
    return Math.round(number(path));
  }

  private double number(String path) {
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
