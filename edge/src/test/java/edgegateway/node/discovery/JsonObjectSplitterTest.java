package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectSplitterTest {
  private static final int MAX_OBJECT_BYTES = 100;

  /** Objects, and an empty string for each empty line, in order. */
  private final List<String> reported = new ArrayList<>();

  private final JsonObjectSplitter objects =
      new JsonObjectSplitter(MAX_OBJECT_BYTES, reported::add, () -> reported.add(""));

  /**
   * Splits the text in one piece, and checks that the result is the same for the text cut in two at
   * each position; for the cut in the middle, the second part is appended byte by byte.
   */
  private List<String> splitAndCheckAllCuts(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    objects.append(bytes);
    for (int cut = 0; cut <= bytes.length; cut++) {
      List<String> actual = new ArrayList<>();
      JsonObjectSplitter splitter =
          new JsonObjectSplitter(MAX_OBJECT_BYTES, actual::add, () -> actual.add(""));
      splitter.append(Arrays.copyOf(bytes, cut));
      if (cut == bytes.length / 2) {
        for (byte next : Arrays.copyOfRange(bytes, cut, bytes.length)) {
          splitter.append(new byte[] {next});
        }
      } else {
        splitter.append(Arrays.copyOfRange(bytes, cut, bytes.length));
      }
      assertEquals(reported, actual, "cut at " + cut);
    }
    return reported;
  }

  @Test
  void objectsOfAnyLayoutAndEmptyLinesBetweenThemAreReported() {
    assertEquals(
        List.of("{\"a\":1}", "", "{\n \"b\": {\n\n  \"c\": [{}]\n }\n}", "{}", "{}", ""),
        splitAndCheckAllCuts(
            "{\"a\":1}\n\n{\n \"b\": {\n\n  \"c\": [{}]\n }\n}\r\n{} {}\n \t\r\n"));
  }

  @Test
  void bracesInStringsAreNotCounted() {
    String escapedQuotes = "{\"a\":\"}{\\\"}\\\\\",\"b\":\"\\\\\"}";
    assertEquals(
        List.of(escapedQuotes, "{\"ñ\":\"á}\"}"),
        splitAndCheckAllCuts(escapedQuotes + "{\"ñ\":\"á}\"}"));
  }

  @Test
  void inputThatIsNotAnObjectOrIsTooLongIsRejected() {
    for (String malformed :
        List.of("[1]", "x", "}", "\"a\"", "{\"a\":\"" + "b".repeat(MAX_OBJECT_BYTES))) {
      reported.clear();
      JsonObjectSplitter splitter =
          new JsonObjectSplitter(MAX_OBJECT_BYTES, reported::add, () -> reported.add(""));
      assertThrows(
          IllegalArgumentException.class,
          () -> splitter.append(malformed.getBytes(StandardCharsets.UTF_8)),
          malformed);
      assertEquals(List.of(), reported);
    }
  }
}
