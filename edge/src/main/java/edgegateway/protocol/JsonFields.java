package edgegateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/** Reads fields of a JSON object that have to be there. */
public final class JsonFields {
  private JsonFields() {}

  /**
   * A field's value.
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
   * A field's value as an address of the form {@code host:port}.
   *
   * @throws InvalidFieldException if it is missing or of another form
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
      // A port that is no number or out of range: reported below, as a missing host is.
    }
    throw new InvalidFieldException(key, key + " is not host:port: " + text);
  }
}
