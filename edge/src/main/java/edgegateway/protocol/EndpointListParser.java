package edgegateway.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Parses endpoint lists in the JSON format of discovery, which the node's configuration uses as
 * well. Thread-safe.
 */
public final class EndpointListParser {
  private static final String ENTRIES = "members";
  private static final double DEFAULT_WEIGHT = 1;

  private EndpointListParser() {}

  /**
   * Parses the text of a message entry by entry, so that a long list is never held as a complete
   * tree.
   *
   * @param names names of the zones and machine types, for their indices
   * @throws InvalidFieldException if the text is not JSON or a field is missing or invalid
   */
  public static EndpointList parse(String message, SettingNames names)
      throws InvalidFieldException {
    List<EndpointEntry> entries = new ArrayList<>();
    try {
      JsonNode messageWithoutEntries =
          Json.<InvalidFieldException>read(
              message, ENTRIES, item -> entries.add(entry(item, names)));
      return endpointList(messageWithoutEntries, entries);
    } catch (JsonProcessingException e) {
      throw new InvalidFieldException(
          "", "the endpoint list is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  /**
   * Parses a message that was already read as a tree.
   *
   * @param names names of the zones and machine types, for their indices
   * @throws InvalidFieldException if a field is missing or invalid
   */
  public static EndpointList parse(JsonNode message, SettingNames names)
      throws InvalidFieldException {
    List<EndpointEntry> entries = new ArrayList<>();
    for (JsonNode item : JsonFields.required(message, ENTRIES)) {
      entries.add(entry(item, names));
    }
    return endpointList(message, entries);
  }

  private static EndpointList endpointList(JsonNode message, List<EndpointEntry> entries)
      throws InvalidFieldException {
    if (!JsonFields.required(message, ENTRIES).isArray()
        || !JsonFields.required(message, "revision").isIntegralNumber()) {
      throw new InvalidFieldException(
          ENTRIES, "members is not an array or revision is not an integer");
    }
    return new EndpointList(
        message.get("revision").asLong(), message.path("complete").asBoolean(false), entries);
  }

  private static EndpointEntry entry(JsonNode item, SettingNames names)
      throws InvalidFieldException {
    String id = JsonFields.required(item, "id").asText();
    EndpointState state =
        switch (JsonFields.required(item, "phase").asText()) {
          case "Ready" -> EndpointState.READY;
          case "Gone" -> EndpointState.REMOVED;
          // Any other phase counts as draining, so that the endpoint gets no new requests.
          default -> EndpointState.DRAINING;
        };
    Endpoint endpoint =
        new Endpoint(
            id,
            item.path("size").asDouble(DEFAULT_WEIGHT),
            names.zones().indexOf(item.path("locality").asText()),
            item.path("cell").asInt(0),
            names.machineTypes().indexOf(item.path("flavor").asText()),
            state,
            startedNanos(item));
    return new EndpointEntry(endpoint, JsonFields.address(item, "host_port"));
  }

  /**
   * Returns the time of the server's last start, in nanoseconds of the policy's clock; 0 if it is
   * not given. That clock starts at the time of the wall clock, so only the unit is converted. The
   * same start must always give the same value, because the policy takes a changed value for a
   * restart.
   */
  private static long startedNanos(JsonNode item) {
    return Math.max(0, item.path("up_since_ms").asLong(0)) * TimeUnit.MILLISECONDS.toNanos(1);
  }
}
