package edgegateway.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares {@link Json} with Jackson's {@link ObjectMapper}: same trees and same errors. */
class JsonTest {
  private final ObjectMapper mapper = new ObjectMapper();

  @Test
  void parsesTextToTheTreeOfTheMapper() throws Exception {
    for (String text :
        List.of(
            "{\"a\":[1,-2.5e3,9999999999,123456789012345678901234567890,null,true,false,\"\\u00e4\"],\"b\":{},\"c\":[]}",
            "",
            " ",
            "7",
            "[]",
            "{} trailing",
            "{\"a\":1,\"a\":2}")) {
      assertEquals(mapper.readTree(text), Json.read(text), text);
    }
  }

  @Test
  void malformedTextFailsWithTheErrorOfTheMapper() {
    for (String text :
        List.of("{", "{\"a\"", "{\"a\":}", "[1,", "nul", "{]", "[}", "\"a", "[".repeat(100_000))) {
      String expected =
          assertThrows(JsonProcessingException.class, () -> mapper.readTree(text))
              .getOriginalMessage();
      assertEquals(
          expected,
          assertThrows(JsonProcessingException.class, () -> Json.read(text)).getOriginalMessage());
    }
  }

  @Test
  void arrayItemsArePassedToTheHandlerAndNotHeldInTheTree() throws Exception {
    for (String text :
        List.of(
            "{\"a\":[1,{\"b\":[2,\"c\"]},[]],\"d\":[3],\"e\":{\"a\":[4]}}",
            "{\"d\":1,\"a\":[]}",
            "{\"a\":{\"x\":[5]}}",
            "{}",
            "",
            "7",
            "[{\"a\":[1]}]")) {
      JsonNode tree = mapper.readTree(text);
      List<JsonNode> items = new ArrayList<>();
      List<JsonNode> expectedItems = new ArrayList<>();
      JsonNode treeWithoutItems = Json.read(text, "a", items::add);
      if (tree.isObject() && tree.path("a").isArray()) {
        tree.get("a").forEach(expectedItems::add);
        ((ObjectNode) tree).putArray("a");
      }
      assertEquals(expectedItems, items, text);
      assertEquals(tree, treeWithoutItems, text);
    }
  }

  @Test
  void textTruncatedAtAnyPositionIsMalformed() {
    String complete = "{\"revision\":1,\"a\":[{\"b\":1},{\"b\":2}],\"c\":true}";
    for (int end = 1; end < complete.length(); end++) {
      String text = complete.substring(0, end);
      assertThrows(JsonProcessingException.class, () -> Json.read(text, "a", item -> {}), text);
    }
  }
}
