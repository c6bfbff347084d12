package edgegateway.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON text as a tree, as {@code ObjectMapper.readTree} gives it, without the mapper: making one
 * costs an edge node more processor time at its start than reading its whole configuration.
 */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private Json() {}

  /**
   * The first value in {@code text}; a missing node if there is none. Nesting is bounded by the
   * parser.
   */
  public static JsonNode read(String text) throws JsonProcessingException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return parser.nextToken() == null ? MissingNode.getInstance() : node(parser);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      // Text in memory has no other trouble.
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Takes the items of a list, in their order.
   *
   * @param <E> what it throws for an item that cannot be used
   */
  public interface ItemHandler<E extends Exception> {
    /** Takes one item; what it throws ends the reading. */
    void handle(JsonNode item) throws E;
  }

  /**
   * The object in {@code text}, but for the items of its array {@code list}: each is handed over
   * and not kept, so that a long list is never a complete tree. Items before a fault in the text
   * are handed over all the same.
   */
  public static <E extends Exception> JsonNode read(String text, String list, ItemHandler<E> items)
      throws JsonProcessingException, E {
    try (JsonParser parser = FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT) {
        return first == null ? MissingNode.getInstance() : node(parser);
      }
      ObjectNode object = NODES.objectNode();
      for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
        if (parser.nextToken() == JsonToken.START_ARRAY && name.equals(list)) {
          while (!parser.nextToken().isStructEnd()) {
            items.handle(node(parser));
          }
          object.set(name, NODES.arrayNode());
        } else {
          object.set(name, node(parser));
        }
      }
      return object;
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      // Text in memory has no other trouble.
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode node(JsonParser parser) throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        ObjectNode object = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
          parser.nextToken();
          object.set(name, node(parser));
        }
        return object;
      }
      case START_ARRAY -> {
        ArrayNode array = NODES.arrayNode();
        while (!parser.nextToken().isStructEnd()) {
          array.add(node(parser));
        }
        return array;
      }
      case VALUE_STRING -> {
        return NODES.textNode(parser.getText());
      }
      case VALUE_NUMBER_INT -> {
        return switch (parser.getNumberType()) {
          case INT -> NODES.numberNode(parser.getIntValue());
          case LONG -> NODES.numberNode(parser.getLongValue());
          default -> NODES.numberNode(parser.getBigIntegerValue());
        };
      }
      case VALUE_NUMBER_FLOAT -> {
        return NODES.numberNode(parser.getDoubleValue());
      }
      case VALUE_NULL -> {
        return NODES.nullNode();
      }
      default -> {
        return NODES.booleanNode(parser.getBooleanValue());
      }
    }
  }
}
