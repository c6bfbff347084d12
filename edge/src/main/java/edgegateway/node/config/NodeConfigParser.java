package edgegateway.node.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.EndpointList;
import edgegateway.protocol.EndpointListParser;
import edgegateway.protocol.InvalidFieldException;
import edgegateway.protocol.Json;
import edgegateway.protocol.JsonFields;
import edgegateway.protocol.PolicySettingsReader;
import edgegateway.protocol.SettingNames;
import edgegateway.protocol.SettingsFlattener;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Parses the configuration file of a node. An invalid configuration is rejected with a single-line
 * message that names the key; of several errors the first one in the order of this class's checks
 * is reported. Thread-safe.
 */
public final class NodeConfigParser {
  private static final int DEFAULT_MAX_DESCRIPTORS = 1_024;
  private static final long DEFAULT_MEMORY_MB = 192;
  private static final long MAX_MEMORY_MB = 1 << 20;
  private static final long BYTES_PER_MB = 1 << 20;
  private static final int SEED_RADIX = 16;

  private static final List<String> REQUIRED_SETTINGS =
      List.of(
          "my-number",
          "siblings",
          "my-zone",
          "tick-ns",
          "caps.max-attempts",
          "caps.max-open",
          "caps.connect-timeout-ns",
          "caps.keepalive-ns",
          "domain.count-wait-ns",
          "rules.answer-slack-ns",
          "rules.cold-from",
          "rules.ramp-time-ns",
          "rules.overload-factor",
          "rules.tip-after-ns");

  private static final List<String> REQUIRED_CLASS_SETTINGS =
      List.of("aim-ns", "deadline-ns", "worth");

  private static final List<String> REQUIRED_PLAN_SETTINGS =
      List.of("units-per-s", "peak-units", "price", "beyond-earns", "beyond-costs");

  private static final List<String> IDEMPOTENCIES = List.of("retryable", "dedup", "fragile");

  private NodeConfigParser() {}

  /** Reads and parses a file. */
  public static NodeConfig read(Path file) throws InvalidConfigException {
    return parse(readText(file));
  }

  /** Reads the text of a file, for {@link #parse}. */
  public static String readText(Path file) throws InvalidConfigException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new InvalidConfigException(
          "", "the configuration file " + file + " cannot be read: " + e.getMessage());
    }
  }

  /** Parses the text of a configuration. */
  public static NodeConfig parse(String text) throws InvalidConfigException {
    try {
      return config(Json.read(text));
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(
          "", "the configuration is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    } catch (InvalidFieldException e) {
      throw new InvalidConfigException(e.key(), e.getMessage());
    }
  }

  private static NodeConfig config(JsonNode root)
      throws InvalidConfigException, InvalidFieldException {
    JsonNode settings = JsonFields.required(root, "settings");
    Map<String, String> settingsByPath = SettingsFlattener.flatten(settings);
    SettingNames names = names(settings);
    checkIdempotencies(settingsByPath, names);
    checkRequired(settingsByPath, names);
    PolicySettings policySettings = policySettings(settingsByPath);
    return new NodeConfig(
        JsonFields.address(root, "listen"),
        JsonFields.address(root, "discovery"),
        policySettings.counter().configured() ? JsonFields.address(root, "counter") : null,
        root.hasNonNull("ops") ? JsonFields.address(root, "ops") : null,
        seed(JsonFields.required(root, "seed")),
        root.path("limits").path("sockets").asInt(DEFAULT_MAX_DESCRIPTORS),
        memoryBytes(root.path("limits").path("memory_mb")),
        OwnSettingsParser.connections(root.path("connections")),
        OwnSettingsParser.tls(root.path("tls")),
        OwnSettingsParser.zones(root.path("zones")),
        root.hasNonNull("known")
            ? EndpointListParser.parse(root.get("known"), names)
            : EndpointList.empty(),
        (long) number(settingsByPath, "caps.connect-timeout-ns"),
        (long) number(settingsByPath, "caps.keepalive-ns"),
        names,
        policySettings);
  }

  private static long memoryBytes(JsonNode megabytes) throws InvalidConfigException {
    if (megabytes.isMissingNode()) {
      return DEFAULT_MEMORY_MB * BYTES_PER_MB;
    }
    if (!megabytes.isNumber() || megabytes.asLong() < 1) {
      throw new InvalidConfigException(
          "limits.memory_mb", "limits.memory_mb is not a number of at least 1: " + megabytes);
    }
    return Math.min(megabytes.asLong(), MAX_MEMORY_MB) * BYTES_PER_MB;
  }

  private static PolicySettings policySettings(Map<String, String> settingsByPath)
      throws InvalidConfigException {
    try {
      return PolicySettingsReader.read(settingsByPath);
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException("settings", "settings." + e.getMessage());
    }
  }

  private static SettingNames names(JsonNode settings)
      throws InvalidConfigException, InvalidFieldException {
    return new SettingNames(
        requiredNames(settings, "classes"),
        requiredNames(settings, "tariffs"),
        texts(settings, "failure-domains"),
        texts(settings, "skus"));
  }

  /** The names of the objects in a list; rejects an empty list. */
  private static List<String> requiredNames(JsonNode settings, String list)
      throws InvalidConfigException, InvalidFieldException {
    List<String> names = new ArrayList<>();
    for (JsonNode item : JsonFields.required(settings, list)) {
      names.add(JsonFields.required(item, "name").asText());
    }
    if (names.isEmpty()) {
      String key = "settings." + list;
      throw new InvalidConfigException(key, key + " is empty");
    }
    return List.copyOf(names);
  }

  private static List<String> texts(JsonNode settings, String list) {
    List<String> texts = new ArrayList<>();
    for (JsonNode item : settings.path(list)) {
      texts.add(item.asText());
    }
    return List.copyOf(texts);
  }

  private static void checkIdempotencies(Map<String, String> settingsByPath, SettingNames names)
      throws InvalidConfigException {
    for (int i = 0; i < names.requestClasses().size(); i++) {
      String path = "classes." + i + ".idempotency";
      if (!IDEMPOTENCIES.contains(settingsByPath.getOrDefault(path, ""))) {
        String key = "settings." + path;
        throw new InvalidConfigException(key, key + " is not retryable, dedup or fragile");
      }
    }
  }

  private static void checkRequired(Map<String, String> settingsByPath, SettingNames names)
      throws InvalidConfigException {
    for (String path : REQUIRED_SETTINGS) {
      checkNumber(settingsByPath, path);
    }
    for (int i = 0; i < names.requestClasses().size(); i++) {
      for (String name : REQUIRED_CLASS_SETTINGS) {
        checkNumber(settingsByPath, "classes." + i + "." + name);
      }
    }
    for (int i = 0; i < names.quotaPlans().size(); i++) {
      for (String name : REQUIRED_PLAN_SETTINGS) {
        checkNumber(settingsByPath, "tariffs." + i + "." + name);
      }
    }
  }

  private static void checkNumber(Map<String, String> settingsByPath, String path)
      throws InvalidConfigException {
    if (!settingsByPath.containsKey(path)) {
      String key = "settings." + path;
      throw new InvalidConfigException(key, key + " is missing");
    }
    number(settingsByPath, path);
  }

  /** The value at a path; rejects one that is not a finite number of at least 0. */
  private static double number(Map<String, String> settingsByPath, String path)
      throws InvalidConfigException {
    try {
      double value = Double.parseDouble(settingsByPath.get(path));
      if (Double.isFinite(value) && value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    String key = "settings." + path;
    throw new InvalidConfigException(
        key, key + " is not a number of at least 0: " + settingsByPath.get(path));
  }

  /** Parses a number, or a string of a 64-bit hexadecimal number. */
  private static long seed(JsonNode seed) throws InvalidConfigException {
    try {
      return seed.isTextual() ? Long.parseUnsignedLong(seed.asText(), SEED_RADIX) : seed.asLong();
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed", "seed is not a 64-bit hexadecimal number");
    }
  }
}
