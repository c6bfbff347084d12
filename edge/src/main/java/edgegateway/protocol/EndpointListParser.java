package edgegateway.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Reads discovery's messages and maps their names to the code's terms. Safe for any thread. */
public final class EndpointListParser {
  private static final String ENTRIES = "members";
  private static final double DEFAULT_WEIGHT = 1;

  private EndpointListParser() {}

  /**
   * Reads a message entry by entry, so that a long one is never a tree as a whole.
   *
   * @param names the settings' names, for the indices of zones and machine types
   */
  public static EndpointList parse(String message, SettingNames names)
      throws InvalidFieldException {
    List<EndpointEntry> entries = new ArrayList<>();
    try {
      JsonNode rest =
          Json.<InvalidFieldException>read(
              message, ENTRIES, item -> entries.add(entry(item, names)));
      return list(rest, entries);
    } catch (JsonProcessingException e) {
      throw new InvalidFieldException(
          "", "discovery's message is not JSON: " + e.getOriginalMessage().replace('\n', ' '));
    }
  }

  /** Reads a message that is a tree already. */
  public static EndpointList parse(JsonNode message, SettingNames names)
      throws InvalidFieldException {
    List<EndpointEntry> entries = new ArrayList<>();
    for (JsonNode item : JsonFields.required(message, ENTRIES)) {
      entries.add(entry(item, names));
    }
    return list(message, entries);
  }

  private static EndpointList list(JsonNode message, List<EndpointEntry> entries)
      throws InvalidFieldException {
    if (!JsonFields.required(message, ENTRIES).isArray()
        || !JsonFields.required(message, "revision").isIntegralNumber()) {
      throw new InvalidFieldException(ENTRIES, "a list of app servers without revision or members");
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
   * When the server started, on the policy's clock. That clock begins at the wall clock's time, so
   * a start needs no more than a new unit; the policy compares starts to tell a restart, so the
   * same start has to give the same number every time.
   */
  private static long startedNanos(JsonNode item) {
    return Math.max(0, item.path("up_since_ms").asLong(0)) * TimeUnit.MILLISECONDS.toNanos(1);
  }
}
