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
 * Reads a node's configuration. What cannot be used is refused with one line that names the key; of
 * several faults the first in the order of this class is reported. Safe for any thread.
 */
public final class NodeConfigParser {
  private static final int DEFAULT_DESCRIPTORS = 1_024;
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

  /** Reads a file. */
  public static NodeConfig read(Path file) throws InvalidConfigException {
    return parse(readText(file));
  }

  /** What a file holds, for {@link #parse}. */
  public static String readText(Path file) throws InvalidConfigException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new InvalidConfigException(
          "", "the configuration " + file + " cannot be read: " + e.getMessage());
    }
  }

  /** Reads the text of a configuration. */
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
    Map<String, String> pairs = SettingsFlattener.flatten(settings);
    SettingNames names = names(settings);
    checkIdempotencies(pairs, names);
    checkRequired(pairs, names);
    PolicySettings policySettings = policySettings(pairs);
    return new NodeConfig(
        JsonFields.address(root, "listen"),
        JsonFields.address(root, "discovery"),
        policySettings.counter().configured() ? JsonFields.address(root, "counter") : null,
        root.hasNonNull("ops") ? JsonFields.address(root, "ops") : null,
        seed(JsonFields.required(root, "seed")),
        root.path("limits").path("sockets").asInt(DEFAULT_DESCRIPTORS),
        OwnSettingsParser.connections(root.path("connections")),
        OwnSettingsParser.tls(root.path("tls")),
        OwnSettingsParser.zones(root.path("zones")),
        root.hasNonNull("known")
            ? EndpointListParser.parse(root.get("known"), names)
            : EndpointList.empty(),
        (long) number(pairs, "caps.connect-timeout-ns"),
        (long) number(pairs, "caps.keepalive-ns"),
        names,
        policySettings);
  }

  private static PolicySettings policySettings(Map<String, String> pairs)
      throws InvalidConfigException {
    try {
      return PolicySettingsReader.read(pairs);
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

  /** The names of the objects in a list, which has to hold at least one. */
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

  private static void checkIdempotencies(Map<String, String> pairs, SettingNames names)
      throws InvalidConfigException {
    for (int i = 0; i < names.requestClasses().size(); i++) {
      String path = "classes." + i + ".idempotency";
      if (!IDEMPOTENCIES.contains(pairs.getOrDefault(path, ""))) {
        String key = "settings." + path;
        throw new InvalidConfigException(key, key + " is not retryable, dedup or fragile");
      }
    }
  }

  private static void checkRequired(Map<String, String> pairs, SettingNames names)
      throws InvalidConfigException {
    for (String path : REQUIRED_SETTINGS) {
      checkNumber(pairs, path);
    }
    for (int i = 0; i < names.requestClasses().size(); i++) {
      for (String name : REQUIRED_CLASS_SETTINGS) {
        checkNumber(pairs, "classes." + i + "." + name);
      }
    }
    for (int i = 0; i < names.quotaPlans().size(); i++) {
      for (String name : REQUIRED_PLAN_SETTINGS) {
        checkNumber(pairs, "tariffs." + i + "." + name);
      }
    }
  }

  private static void checkNumber(Map<String, String> pairs, String path)
      throws InvalidConfigException {
    if (!pairs.containsKey(path)) {
      String key = "settings." + path;
      throw new InvalidConfigException(key, key + " is missing");
    }
    number(pairs, path);
  }

  /** A finite number from 0. */
  private static double number(Map<String, String> pairs, String path)
      throws InvalidConfigException {
    try {
      double value = Double.parseDouble(pairs.get(path));
      if (Double.isFinite(value) && value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, as a number out of range is.
    }
    String key = "settings." + path;
    throw new InvalidConfigException(key, key + " is not a number from 0: " + pairs.get(path));
  }

  /** A number, or text that is a hexadecimal number of 64 bits. */
  private static long seed(JsonNode seed) throws InvalidConfigException {
    try {
      return seed.isTextual() ? Long.parseUnsignedLong(seed.asText(), SEED_RADIX) : seed.asLong();
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed", "seed is not a hexadecimal number of 64 bits");
    }
  }
}
