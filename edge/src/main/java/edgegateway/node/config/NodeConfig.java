package edgegateway.node.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.node.connections.ConnectionLimits;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.PolicySettings;
import edgegateway.protocol.Json;
import edgegateway.protocol.PolicySettingsReader;
import edgegateway.protocol.SettingsFlattener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What an edge node is told at its start.
 *
 * @param counter where the counter listens; null where there is none
 * @param ops where operators call; null where they can't
 * @param sockets how many descriptors the process may hold
 * @param connections bounds on connections, so far as they are set
 * @param tls how clients' connections are secured; null if they are not
 * @param zones how zones are left and come back by verdict; null if they are not
 * @param known the list of app servers as last had before this start
 * @param connectTimeout span after which a connection counts as not made
 * @param keepAlive span after which an app server closes an idle connection
 * @param names the names that stand for the settings' indices
 */
public record NodeConfig(
    InetSocketAddress listen,
    InetSocketAddress discovery,
    InetSocketAddress counter,
    InetSocketAddress ops,
    long seed,
    int sockets,
    ConnectionLimits connections,
    TlsTermination.Settings tls,
    ZoneEjectionSettings zones,
    EndpointList known,
    long connectTimeout,
    long keepAlive,
    SettingNames names,
    PolicySettings settings) {

  private static final int HANDSHAKES = 8;

  /** A configuration that cannot be used; the message is one plain line that names the key. */
  public static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
      super(message);
    }
  }

  /** Names of classes, plans, zones and machine kinds, each at its index. */
  public record SettingNames(
      List<String> classes, List<String> plans, List<String> zones, List<String> kinds) {}

  /** An app server and where this edge node reaches it. */
  public record EndpointEntry(Endpoint endpoint, InetSocketAddress address) {}

  /** A message of discovery: the whole list if {@code complete}, else changed entries. */
  public record EndpointList(long revision, boolean complete, List<EndpointEntry> entries) {}

  public static NodeConfig read(Path file) throws InvalidConfigException {
    return parse(text(file));
  }

  /** What the file holds, for {@link #parse}. */
  public static String text(Path file) throws InvalidConfigException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new InvalidConfigException(
          "the configuration " + file + " cannot be read: " + e.getMessage());
    }
  }

  public static NodeConfig parse(String text) throws InvalidConfigException {
    JsonNode root;
    try {
      root = Json.read(text);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(
          "the configuration is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
    Map<String, String> pairs = SettingsFlattener.of(present(root, "settings"));
    List<String> required =
        new ArrayList<>(
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
                "rules.tip-after-ns"));
    JsonNode settings = root.path("settings");
    SettingNames names =
        new SettingNames(
            namesOf(settings, "classes"),
            namesOf(settings, "tariffs"),
            textsOf(settings, "failure-domains"),
            textsOf(settings, "skus"));
    for (int i = 0; i < names.classes.size(); i++) {
      for (String key : List.of("aim-ns", "deadline-ns", "worth")) {
        required.add("classes." + i + "." + key);
      }
      String idempotency = "classes." + i + ".idempotency";
      if (!List.of("retryable", "dedup", "fragile").contains(pairs.getOrDefault(idempotency, ""))) {
        throw new InvalidConfigException(
            "settings." + idempotency + " is not retryable, dedup or fragile");
      }
    }
    for (int i = 0; i < names.plans.size(); i++) {
      for (String key :
          List.of("units-per-s", "peak-units", "price", "beyond-earns", "beyond-costs")) {
        required.add("tariffs." + i + "." + key);
      }
    }
    for (String key : required) {
      if (!pairs.containsKey(key)) {
        throw new InvalidConfigException("settings." + key + " is missing");
      }
      number(pairs, key);
    }
    PolicySettings read;
    try {
      read = PolicySettingsReader.read(pairs);
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException("settings." + e.getMessage());
    }
    boolean counted = read.counter().present();
    return new NodeConfig(
        address(root, "listen"),
        address(root, "discovery"),
        counted ? address(root, "counter") : null,
        root.hasNonNull("ops") ? address(root, "ops") : null,
        seed(present(root, "seed")),
        root.path("limits").path("sockets").asInt(1024),
        connections(root.path("connections")),
        tls(root.path("tls")),
        zones(root.path("zones")),
        root.hasNonNull("known")
            ? roll(root.get("known"), names)
            : new EndpointList(0, true, List.of()),
        (long) number(pairs, "caps.connect-timeout-ns"),
        (long) number(pairs, "caps.keepalive-ns"),
        names,
        read);
  }

  private static ConnectionLimits connections(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return ConnectionLimits.NONE;
    }
    own(
        node,
        "connections",
        Set.of("clients", "archive-servers", "per-archive-server", "held-bytes", "idle-ms"));
    return new ConnectionLimits(
        whole(node, "connections", "clients", 1, 1 << 20),
        whole(node, "connections", "archive-servers", 1, 1 << 20),
        whole(node, "connections", "per-archive-server", 1, 1 << 20),
        whole(node, "connections", "held-bytes", 1 << 17, 1 << 30),
        whole(node, "connections", "idle-ms", 2_000, 3_600_000) * 1_000_000L);
  }

  private static TlsTermination.Settings tls(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return null;
    }
    own(node, "tls", Set.of("certificate", "key", "handshakes"));
    for (String key : List.of("certificate", "key")) {
      if (!node.path(key).isTextual() || node.path(key).asText().isBlank()) {
        throw new InvalidConfigException("tls." + key + " is not the path of a file");
      }
    }
    int handshakes = whole(node, "tls", "handshakes", 1, 1_024);
    return new TlsTermination.Settings(
        node.path("certificate").asText(),
        node.path("key").asText(),
        handshakes == 0 ? HANDSHAKES : handshakes);
  }

  private static ZoneEjectionSettings zones(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return null;
    }
    own(node, "zones", Set.of("verdicts", "most-out-percent", "alone-after-ms"));
    String verdicts = node.path("verdicts").asText();
    if (!List.of("alone", "counter").contains(verdicts)) {
      throw new InvalidConfigException(
          "zones.verdicts is not alone or counter: " + node.path("verdicts"));
    }
    int most = whole(node, "zones", "most-out-percent", 1, 90);
    int after = whole(node, "zones", "alone-after-ms", 500, 60_000);
    return new ZoneEjectionSettings(
        ZoneEjectionSettings.DecisionMode.valueOf(verdicts.toUpperCase(Locale.ROOT)),
        most == 0 ? ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION : most / 100.0,
        after == 0 ? ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS : after * 1_000_000L);
  }

  /** An object of this project's own: what it does not know may be a slip, and is told. */
  private static void own(JsonNode node, String name, Set<String> keys)
      throws InvalidConfigException {
    if (!node.isObject()) {
      throw new InvalidConfigException(name + " is not an object");
    }
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      if (!keys.contains(field.getKey())) {
        throw new InvalidConfigException(name + "." + field.getKey() + " is unknown");
      }
    }
  }

  /** A whole number; 0 if it is not set. */
  private static int whole(JsonNode node, String name, String key, int least, int most)
      throws InvalidConfigException {
    JsonNode value = node.path(key);
    if (value.isMissingNode()) {
      return 0;
    }
    if (!value.isIntegralNumber()
        || !value.canConvertToInt()
        || value.asInt() < least
        || value.asInt() > most) {
      throw new InvalidConfigException(
          name + "." + key + " is not a whole number from " + least + " to " + most + ": " + value);
    }
    return value.asInt();
  }

  /** Reads one message of discovery, entry by entry: it may be long. */
  public static EndpointList roll(String line, SettingNames names) throws InvalidConfigException {
    List<EndpointEntry> members = new ArrayList<>();
    try {
      return roll(Json.read(line, "members", entry -> members.add(member(entry, names))), members);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigException(
          "discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  private static EndpointList roll(JsonNode node, SettingNames names)
      throws InvalidConfigException {
    List<EndpointEntry> members = new ArrayList<>();
    for (JsonNode entry : present(node, "members")) {
      members.add(member(entry, names));
    }
    return roll(node, members);
  }

  private static EndpointList roll(JsonNode node, List<EndpointEntry> members)
      throws InvalidConfigException {
    if (!present(node, "members").isArray() || !present(node, "revision").isIntegralNumber()) {
      throw new InvalidConfigException("a list of app servers without revision or members");
    }
    return new EndpointList(
        node.get("revision").asLong(), node.path("complete").asBoolean(false), members);
  }

  private static EndpointEntry member(JsonNode entry, SettingNames names)
      throws InvalidConfigException {
    String id = present(entry, "id").asText();
    EndpointState readiness =
        switch (present(entry, "phase").asText()) {
          case "Ready" -> EndpointState.READY;
          case "Gone" -> EndpointState.REMOVED;
          default -> EndpointState.DRAINING;
        };
    // The module's clock starts at the wall clock's time, so a start needs no more than a new unit;
    // it compares starts to tell a restart, so the same start must give the same number every time.
    long started = Math.max(0, entry.path("up_since_ms").asLong(0)) * 1_000_000L;
    return new EndpointEntry(
        new Endpoint(
            id,
            entry.path("size").asDouble(1),
            names.zones.indexOf(entry.path("locality").asText()),
            entry.path("cell").asInt(0),
            names.kinds.indexOf(entry.path("flavor").asText()),
            readiness,
            started),
        address(entry, "host_port"));
  }

  private static double number(Map<String, String> pairs, String key)
      throws InvalidConfigException {
    try {
      double value = Double.parseDouble(pairs.get(key));
      if (Double.isFinite(value) && value >= 0) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below, as for a number that is none of use.
    }
    throw new InvalidConfigException(
        "settings." + key + " is not a number from 0: " + pairs.get(key));
  }

  private static List<String> namesOf(JsonNode settings, String list)
      throws InvalidConfigException {
    List<String> names = new ArrayList<>();
    for (JsonNode item : present(settings, list)) {
      names.add(present(item, "name").asText());
    }
    if (names.isEmpty()) {
      throw new InvalidConfigException("settings." + list + " is empty");
    }
    return List.copyOf(names);
  }

  private static List<String> textsOf(JsonNode settings, String list) {
    List<String> texts = new ArrayList<>();
    settings.path(list).forEach(item -> texts.add(item.asText()));
    return List.copyOf(texts);
  }

  private static JsonNode present(JsonNode node, String key) throws InvalidConfigException {
    if (!node.hasNonNull(key)) {
      throw new InvalidConfigException(key + " is missing");
    }
    return node.get(key);
  }

  private static long seed(JsonNode seed) throws InvalidConfigException {
    try {
      return seed.isTextual() ? Long.parseUnsignedLong(seed.asText(), 16) : seed.asLong();
    } catch (NumberFormatException e) {
      throw new InvalidConfigException("seed is not a hexadecimal number of 64 bits");
    }
  }

  private static InetSocketAddress address(JsonNode node, String key)
      throws InvalidConfigException {
    String text = present(node, key).asText();
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (IllegalArgumentException e) {
      // Said below.
    }
    throw new InvalidConfigException(key + " is not host:port: " + text);
  }
}
