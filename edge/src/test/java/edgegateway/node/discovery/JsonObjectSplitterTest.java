package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectSplitterTest {
  private final List<String> told = new ArrayList<>();
  private final JsonObjectSplitter objects =
      new JsonObjectSplitter(100, told::add, () -> told.add(""));

  /** Cut in two at each byte, and byte by byte: the same must come of all. */
  private List<String> read(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    objects.next(bytes);
    for (int cut = 0; cut <= bytes.length; cut++) {
      List<String> again = new ArrayList<>();
      JsonObjectSplitter fresh = new JsonObjectSplitter(100, again::add, () -> again.add(""));
      fresh.next(Arrays.copyOf(bytes, cut));
      if (cut == bytes.length / 2) {
        for (byte next : Arrays.copyOfRange(bytes, cut, bytes.length)) {
          fresh.next(new byte[] {next});
        }
      } else {
        fresh.next(Arrays.copyOfRange(bytes, cut, bytes.length));
      }
      assertEquals(told, again, "cut at " + cut);
    }
    return told;
  }

  @Test
  void objectsComeInAnyLayoutAndEmptyLinesBetweenThemAreTold() {
    assertEquals(
        List.of("{\"a\":1}", "", "{\n \"b\": {\n\n  \"c\": [{}]\n }\n}", "{}", "{}", ""),
        read("{\"a\":1}\n\n{\n \"b\": {\n\n  \"c\": [{}]\n }\n}\r\n{} {}\n \t\r\n"));
  }

  @Test
  void bracesInTextsAreNone() {
    String odd = "{\"a\":\"}{\\\"}\\\\\",\"b\":\"\\\\\"}";
    assertEquals(List.of(odd, "{\"ñ\":\"á}\"}"), read(odd + "{\"ñ\":\"á}\"}"));
  }

  @Test
  void whatIsNoObjectOrTooLongEndsIt() {
    for (String no : List.of("[1]", "x", "}", "\"a\"", "{\"a\":\"" + "b".repeat(100))) {
      told.clear();
      JsonObjectSplitter fresh = new JsonObjectSplitter(100, told::add, () -> told.add(""));
      assertThrows(
          IllegalArgumentException.class,
          () -> fresh.next(no.getBytes(StandardCharsets.UTF_8)),
          no);
      assertEquals(List.of(), told);
    }
  }
}
