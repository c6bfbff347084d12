package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectSplitterTest {
  private final List<String> reported = new ArrayList<>();
  private final JsonObjectSplitter objects =
      new JsonObjectSplitter(100, reported::add, () -> reported.add(""));

  /** Cut in two at each byte, and byte by byte: the same must come of all. */
  private List<String> split(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    objects.append(bytes);
    for (int cut = 0; cut <= bytes.length; cut++) {
      List<String> again = new ArrayList<>();
      JsonObjectSplitter fresh = new JsonObjectSplitter(100, again::add, () -> again.add(""));
      fresh.append(Arrays.copyOf(bytes, cut));
      if (cut == bytes.length / 2) {
        for (byte next : Arrays.copyOfRange(bytes, cut, bytes.length)) {
          fresh.append(new byte[] {next});
        }
      } else {
        fresh.append(Arrays.copyOfRange(bytes, cut, bytes.length));
      }
      assertEquals(reported, again, "cut at " + cut);
    }
    return reported;
  }

  @Test
  void objectsMayHaveAnyLayoutAndEmptyLinesBetweenThemAreReported() {
    assertEquals(
        List.of("{\"a\":1}", "", "{\n \"b\": {\n\n  \"c\": [{}]\n }\n}", "{}", "{}", ""),
        split("{\"a\":1}\n\n{\n \"b\": {\n\n  \"c\": [{}]\n }\n}\r\n{} {}\n \t\r\n"));
  }

  @Test
  void bracesInStringsAreIgnored() {
    String odd = "{\"a\":\"}{\\\"}\\\\\",\"b\":\"\\\\\"}";
    assertEquals(List.of(odd, "{\"ñ\":\"á}\"}"), split(odd + "{\"ñ\":\"á}\"}"));
  }

  @Test
  void whatIsNoObjectOrIsTooLongIsRefused() {
    for (String no : List.of("[1]", "x", "}", "\"a\"", "{\"a\":\"" + "b".repeat(100))) {
      reported.clear();
      JsonObjectSplitter fresh = new JsonObjectSplitter(100, reported::add, () -> reported.add(""));
      assertThrows(
          IllegalArgumentException.class,
          () -> fresh.append(no.getBytes(StandardCharsets.UTF_8)),
          no);
      assertEquals(List.of(), reported);
    }
  }
}
