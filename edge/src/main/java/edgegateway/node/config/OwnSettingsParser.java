package edgegateway.node.config;

import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.node.connections.ConnectionLimits;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.zones.ZoneEjectionSettings;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Reads the optional objects of the configuration that are this project's own: {@code connections},
 * {@code tls} and {@code zones}. A key that is not known in one of them may be a slip and is
 * refused.
 */
final class OwnSettingsParser {
  private static final int MAX_CONNECTIONS = 1 << 20;
  private static final int MIN_BUFFERED_BYTES = 1 << 17;
  private static final int MAX_BUFFERED_BYTES = 1 << 30;
  private static final int MIN_IDLE_MILLIS = 2_000;
  private static final int MAX_IDLE_MILLIS = 3_600_000;
  private static final int DEFAULT_HANDSHAKES = 8;
  private static final int MAX_HANDSHAKES = 1_024;
  private static final int MAX_OUT_PERCENT = 90;
  private static final double PERCENT = 100;
  private static final int MIN_ALONE_AFTER_MILLIS = 500;
  private static final int MAX_ALONE_AFTER_MILLIS = 60_000;

  /** What {@link #integer} gives for a key that is left out; below every least value. */
  private static final int NOT_SET = 0;

  private OwnSettingsParser() {}

  /**
   * The limits on connections. Each that is left out comes from {@code limits.sockets}.
   *
   * <ul>
   *   <li>{@code clients}: most connections of clients; a lower one refuses newcomers earlier
   *   <li>{@code archive-servers}: most connections to all archive servers together
   *   <li>{@code per-archive-server}: most connections to one archive server
   *   <li>{@code held-bytes}: most bytes of bodies that are held whole, for all requests together;
   *       more are refused
   *   <li>{@code idle-ms}: milliseconds after which a client's connection between requests is
   *       closed
   * </ul>
   */
  static ConnectionLimits connections(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return ConnectionLimits.NONE;
    }
    checkKeys(
        node,
        "connections",
        Set.of("clients", "archive-servers", "per-archive-server", "held-bytes", "idle-ms"));
    return new ConnectionLimits(
        integer(node, "connections", "clients", 1, MAX_CONNECTIONS),
        integer(node, "connections", "archive-servers", 1, MAX_CONNECTIONS),
        integer(node, "connections", "per-archive-server", 1, MAX_CONNECTIONS),
        integer(node, "connections", "held-bytes", MIN_BUFFERED_BYTES, MAX_BUFFERED_BYTES),
        TimeUnit.MILLISECONDS.toNanos(
            integer(node, "connections", "idle-ms", MIN_IDLE_MILLIS, MAX_IDLE_MILLIS)));
  }

  /**
   * How clients' connections are secured; null if they are not.
   *
   * <ul>
   *   <li>{@code certificate}: path of the certificate chain, PEM
   *   <li>{@code key}: path of its key, PEM with PKCS#8
   *   <li>{@code handshakes}: most handshakes at once, 8 by default; more wait for their turn
   * </ul>
   */
  static TlsTermination.Settings tls(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return null;
    }
    checkKeys(node, "tls", Set.of("certificate", "key", "handshakes"));
    String certificate = path(node, "certificate");
    String privateKey = path(node, "key");
    int handshakes = integer(node, "tls", "handshakes", 1, MAX_HANDSHAKES);
    return new TlsTermination.Settings(
        certificate, privateKey, handshakes == NOT_SET ? DEFAULT_HANDSHAKES : handshakes);
  }

  private static String path(JsonNode node, String key) throws InvalidConfigException {
    if (!node.path(key).isTextual() || node.path(key).asText().isBlank()) {
      throw new InvalidConfigException("tls." + key, "tls." + key + " is not the path of a file");
    }
    return node.path(key).asText();
  }

  /**
   * How the fleet ejects zones; null if operators alone do.
   *
   * <ul>
   *   <li>{@code verdicts}: who decides, {@code alone} (each node by itself) or {@code counter} (a
   *       majority of all nodes, over the shared counter)
   *   <li>{@code most-out-percent}: most of the listed archive servers that may be out by decision
   *       of the fleet, percent, 50 by default; beyond it no further zone is ejected
   *   <li>{@code alone-after-ms}: milliseconds for which a node has to find a zone bad until it
   *       ejects it without the others, 3,000 by default
   * </ul>
   */
  static ZoneEjectionSettings zones(JsonNode node) throws InvalidConfigException {
    if (node.isMissingNode()) {
      return null;
    }
    checkKeys(node, "zones", Set.of("verdicts", "most-out-percent", "alone-after-ms"));
    ZoneEjectionSettings.DecisionMode verdicts =
        switch (node.path("verdicts").asText()) {
          case "alone" -> ZoneEjectionSettings.DecisionMode.ALONE;
          case "counter" -> ZoneEjectionSettings.DecisionMode.COUNTER;
          default ->
              throw new InvalidConfigException(
                  "zones.verdicts",
                  "zones.verdicts is not alone or counter: " + node.path("verdicts"));
        };
    int maxOutPercent = integer(node, "zones", "most-out-percent", 1, MAX_OUT_PERCENT);
    int aloneAfterMillis =
        integer(node, "zones", "alone-after-ms", MIN_ALONE_AFTER_MILLIS, MAX_ALONE_AFTER_MILLIS);
    return new ZoneEjectionSettings(
        verdicts,
        maxOutPercent == NOT_SET
            ? ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION
            : maxOutPercent / PERCENT,
        aloneAfterMillis == NOT_SET
            ? ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS
            : TimeUnit.MILLISECONDS.toNanos(aloneAfterMillis));
  }

  private static void checkKeys(JsonNode node, String name, Set<String> known)
      throws InvalidConfigException {
    if (!node.isObject()) {
      throw new InvalidConfigException(name, name + " is not an object");
    }
    for (Map.Entry<String, JsonNode> field : node.properties()) {
      if (!known.contains(field.getKey())) {
        String key = name + "." + field.getKey();
        throw new InvalidConfigException(key, key + " is unknown");
      }
    }
  }

  /** A whole number in a range; {@link #NOT_SET} if the key is left out. */
  private static int integer(JsonNode node, String name, String key, int least, int most)
      throws InvalidConfigException {
    JsonNode value = node.path(key);
    if (value.isMissingNode()) {
      return NOT_SET;
    }
    if (!value.isIntegralNumber()
        || !value.canConvertToInt()
        || value.asInt() < least
        || value.asInt() > most) {
      String path = name + "." + key;
      throw new InvalidConfigException(
          path, path + " is not a whole number from " + least + " to " + most + ": " + value);
    }
    return value.asInt();
  }
}
