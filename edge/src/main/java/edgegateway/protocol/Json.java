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
 * Parses JSON text to the same tree as {@code ObjectMapper.readTree}, but without an {@code
 * ObjectMapper}: creating one takes an edge node more CPU time at its start than reading its
 * complete configuration. Thread-safe.
 */
public final class Json {
  private static final JsonFactory PARSER_FACTORY = new JsonFactory();
  private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

  private Json() {}

  /**
   * Returns the first value in {@code text}, or a missing node if there is none. Text after the
   * first value is ignored.
   *
   * @throws JsonProcessingException if the text is not JSON or exceeds the parser's limit on
   *     nesting
   */
  public static JsonNode read(String text) throws JsonProcessingException {
    try (JsonParser parser = PARSER_FACTORY.createParser(text)) {
      return parser.nextToken() == null ? MissingNode.getInstance() : node(parser);
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      // Not expected: a parser of a String does no I/O.
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Receives the items of an array in their order.
   *
   * @param <E> exception for an invalid item
   */
  public interface ItemHandler<E extends Exception> {
    /** Receives one item; an exception ends the parsing and is passed to its caller. */
    void handle(JsonNode item) throws E;
  }

  /**
   * Returns the object in {@code text} with its array {@code arrayName} empty. Each item of that
   * array is passed to {@code itemHandler} instead, so that a long array is never held as a
   * complete tree. If the text is not JSON, the items before the error have already been passed. If
   * it does not start with an object, the result is that of {@link #read(String)}.
   */
  public static <E extends Exception> JsonNode read(
      String text, String arrayName, ItemHandler<E> itemHandler) throws JsonProcessingException, E {
    try (JsonParser parser = PARSER_FACTORY.createParser(text)) {
      JsonToken first = parser.nextToken();
      if (first != JsonToken.START_OBJECT) {
        return first == null ? MissingNode.getInstance() : node(parser);
      }
      ObjectNode object = NODE_FACTORY.objectNode();
      for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
        if (parser.nextToken() == JsonToken.START_ARRAY && name.equals(arrayName)) {
          while (!parser.nextToken().isStructEnd()) {
            itemHandler.handle(node(parser));
          }
          object.set(name, NODE_FACTORY.arrayNode());
        } else {
          object.set(name, node(parser));
        }
      }
      return object;
    } catch (JsonProcessingException e) {
      throw e;
    } catch (IOException e) {
      // Not expected: a parser of a String does no I/O.
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode node(JsonParser parser) throws IOException {
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        ObjectNode object = NODE_FACTORY.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
          parser.nextToken();
          object.set(name, node(parser));
        }
        return object;
      }
      case START_ARRAY -> {
        ArrayNode array = NODE_FACTORY.arrayNode();
        while (!parser.nextToken().isStructEnd()) {
          array.add(node(parser));
        }
        return array;
      }
      case VALUE_STRING -> {
        return NODE_FACTORY.textNode(parser.getText());
      }
      case VALUE_NUMBER_INT -> {
        return switch (parser.getNumberType()) {
          case INT -> NODE_FACTORY.numberNode(parser.getIntValue());
          case LONG -> NODE_FACTORY.numberNode(parser.getLongValue());
          default -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
        };
      }
      case VALUE_NUMBER_FLOAT -> {
        return NODE_FACTORY.numberNode(parser.getDoubleValue());
      }
      case VALUE_NULL -> {
        return NODE_FACTORY.nullNode();
      }
      default -> {
        return NODE_FACTORY.booleanNode(parser.getBooleanValue());
      }
    }
  }
}
