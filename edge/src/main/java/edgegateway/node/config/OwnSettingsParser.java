package edgegateway.node.config;

import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.node.connections.ConnectionLimits;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.zones.ZoneEjectionSettings;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Parses the optional objects {@code connections}, {@code tls} and {@code zones} of the
 * configuration, which are defined by the gateway itself and not by the platform. An unknown key in
 * one of them is rejected, because it may be a misspelt one.
 */
final class OwnSettingsParser {
  private static final int MAX_CONNECTIONS = 1 << 20;
  private static final int MIN_BUFFERED_BYTES = 1 << 17;
  private static final int MAX_BUFFERED_BYTES = 1 << 30;
  private static final int MIN_IDLE_MILLIS = 2_000;
  private static final int MAX_IDLE_MILLIS = 3_600_000;
  private static final int DEFAULT_HANDSHAKES = 8;
  private static final int MAX_HANDSHAKES = 1_024;
  private static final int MAX_EJECTED_PERCENT = 90;
  private static final double PERCENT = 100;
  private static final int MIN_LOCAL_DECISION_AFTER_MILLIS = 500;
  private static final int MAX_LOCAL_DECISION_AFTER_MILLIS = 60_000;

  /** Returned by {@link #integer} for a missing key; below every allowed minimum. */
  private static final int NOT_SET = 0;

  private OwnSettingsParser() {}

  /**
   * Parses the limits on connections. A limit that is not set is derived from {@code
   * limits.sockets}.
   *
   * <ul>
   *   <li>{@code clients}: maximum number of client connections; with a lower limit, new clients
   *       are rejected earlier
   *   <li>{@code archive-servers}: maximum number of connections to all archive servers together
   *   <li>{@code per-archive-server}: maximum number of connections to one archive server
   *   <li>{@code held-bytes}: maximum number of bytes of completely buffered bodies, for all
   *       requests together; bodies beyond it are rejected
   *   <li>{@code idle-ms}: milliseconds after which a client's connection without a request is
   *       closed
   * </ul>
   */
  static ConnectionLimits connections(JsonNode object) throws InvalidConfigException {
    if (object.isMissingNode()) {
      return ConnectionLimits.NONE;
    }
    checkKeys(
        object,
        "connections",
        Set.of("clients", "archive-servers", "per-archive-server", "held-bytes", "idle-ms"));
    return new ConnectionLimits(
        integer(object, "connections", "clients", 1, MAX_CONNECTIONS),
        integer(object, "connections", "archive-servers", 1, MAX_CONNECTIONS),
        integer(object, "connections", "per-archive-server", 1, MAX_CONNECTIONS),
        integer(object, "connections", "held-bytes", MIN_BUFFERED_BYTES, MAX_BUFFERED_BYTES),
        TimeUnit.MILLISECONDS.toNanos(
            integer(object, "connections", "idle-ms", MIN_IDLE_MILLIS, MAX_IDLE_MILLIS)));
  }

  /**
   * Parses the TLS settings of clients' connections; null if they are not encrypted.
   *
   * <ul>
   *   <li>{@code certificate}: path of the certificate chain, PEM
   *   <li>{@code key}: path of its private key, PEM with PKCS#8
   *   <li>{@code handshakes}: maximum number of concurrent handshakes, 8 by default; further ones
   *       are queued
   * </ul>
   */
  static TlsTermination.Settings tls(JsonNode object) throws InvalidConfigException {
    if (object.isMissingNode()) {
      return null;
    }
    checkKeys(object, "tls", Set.of("certificate", "key", "handshakes"));
    String certificate = path(object, "certificate");
    String privateKey = path(object, "key");
    int handshakes = integer(object, "tls", "handshakes", 1, MAX_HANDSHAKES);
    return new TlsTermination.Settings(
        certificate, privateKey, handshakes == NOT_SET ? DEFAULT_HANDSHAKES : handshakes);
  }

  private static String path(JsonNode object, String key) throws InvalidConfigException {
    if (!object.path(key).isTextual() || object.path(key).asText().isBlank()) {
      throw new InvalidConfigException("tls." + key, "tls." + key + " is not the path of a file");
    }
    return object.path(key).asText();
  }

  /**
   * Parses how the fleet ejects zones; null if only operators do.
   *
   * <ul>
   *   <li>{@code verdicts}: who decides, {@code alone} (each node by itself) or {@code counter} (a
   *       majority of all nodes, over the shared counter)
   *   <li>{@code most-out-percent}: maximum percentage of the listed archive servers that may be
   *       ejected by decision of the fleet, 50 by default; beyond it no further zone is ejected
   *   <li>{@code alone-after-ms}: milliseconds for which a node has to find a zone failing until it
   *       ejects the zone without the other nodes, 3,000 by default
   * </ul>
   */
  static ZoneEjectionSettings zones(JsonNode object) throws InvalidConfigException {
    if (object.isMissingNode()) {
      return null;
    }
    checkKeys(object, "zones", Set.of("verdicts", "most-out-percent", "alone-after-ms"));
    ZoneEjectionSettings.DecisionMode mode =
        switch (object.path("verdicts").asText()) {
          case "alone" -> ZoneEjectionSettings.DecisionMode.ALONE;
          case "counter" -> ZoneEjectionSettings.DecisionMode.COUNTER;
          default ->
              throw new InvalidConfigException(
                  "zones.verdicts",
                  "zones.verdicts is not alone or counter: " + object.path("verdicts"));
        };
    int maxEjectedPercent = integer(object, "zones", "most-out-percent", 1, MAX_EJECTED_PERCENT);
    int localDecisionAfterMillis =
        integer(
            object,
            "zones",
            "alone-after-ms",
            MIN_LOCAL_DECISION_AFTER_MILLIS,
            MAX_LOCAL_DECISION_AFTER_MILLIS);
    return new ZoneEjectionSettings(
        mode,
        maxEjectedPercent == NOT_SET
            ? ZoneEjectionSettings.DEFAULT_MAX_EJECTED_FRACTION
            : maxEjectedPercent / PERCENT,
        localDecisionAfterMillis == NOT_SET
            ? ZoneEjectionSettings.DEFAULT_LOCAL_DECISION_AFTER_NANOS
            : TimeUnit.MILLISECONDS.toNanos(localDecisionAfterMillis));
  }

  private static void checkKeys(JsonNode object, String name, Set<String> known)
      throws InvalidConfigException {
    if (!object.isObject()) {
      throw new InvalidConfigException(name, name + " is not an object");
    }
    for (Map.Entry<String, JsonNode> field : object.properties()) {
      if (!known.contains(field.getKey())) {
        String key = name + "." + field.getKey();
        throw new InvalidConfigException(key, key + " is unknown");
      }
    }
  }

  /** Parses an integer in a range; {@link #NOT_SET} if the key is missing. */
  private static int integer(JsonNode object, String name, String key, int min, int max)
      throws InvalidConfigException {
    JsonNode value = object.path(key);
    if (value.isMissingNode()) {
      return NOT_SET;
    }
    if (!value.isIntegralNumber()
        || !value.canConvertToInt()
        || value.asInt() < min
        || value.asInt() > max) {
      String path = name + "." + key;
      throw new InvalidConfigException(
          path, path + " is not a whole number from " + min + " to " + max + ": " + value);
    }
    return value.asInt();
  }
}
