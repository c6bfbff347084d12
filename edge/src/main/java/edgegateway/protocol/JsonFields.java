package edgegateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/** Reads required fields of a JSON object. */
public final class JsonFields {
  private JsonFields() {}

  /**
   * Returns the value of a field.
   *
   * @throws InvalidFieldException if it is missing or null
   */
  public static JsonNode required(JsonNode object, String key) throws InvalidFieldException {
    if (!object.hasNonNull(key)) {
      throw new InvalidFieldException(key, key + " is missing");
    }
    return object.get(key);
  }

  /**
   * Returns the value of a field that is an address of the form {@code host:port}. A host name is
   * resolved.
   *
   * @throws InvalidFieldException if it is missing, null or of another form
   */
  public static InetSocketAddress address(JsonNode object, String key)
      throws InvalidFieldException {
    String text = required(object, key).asText();
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (IllegalArgumentException e) {
      // The port is not a number or out of range; reported below, like a missing host.
    }
    throw new InvalidFieldException(key, key + " is not host:port: " + text);
  }
}
