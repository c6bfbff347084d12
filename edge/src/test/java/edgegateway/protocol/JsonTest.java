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

/** A tree without the mapper is the tree that the mapper makes. */
class JsonTest {
  private final ObjectMapper mapper = new ObjectMapper();

  @Test
  void theTreeIsTheMappers() throws Exception {
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
  void whatIsNoJsonIsRefusedAsByTheMapper() {
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
  void aListsItemsAreToldAndTheRestIsTheTree() throws Exception {
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
      List<JsonNode> expected = new ArrayList<>();
      JsonNode rest = Json.read(text, "a", items::add);
      if (tree.isObject() && tree.path("a").isArray()) {
        tree.get("a").forEach(expected::add);
        ((ObjectNode) tree).putArray("a");
      }
      assertEquals(expected, items, text);
      assertEquals(tree, rest, text);
    }
  }

  @Test
  void aListThatIsNoJsonIsRefusedWhereverItBreaks() {
    String whole = "{\"revision\":1,\"a\":[{\"b\":1},{\"b\":2}],\"c\":true}";
    for (int end = 1; end < whole.length(); end++) {
      String text = whole.substring(0, end);
      assertThrows(JsonProcessingException.class, () -> Json.read(text, "a", item -> {}), text);
    }
  }
}
