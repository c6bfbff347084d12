package edgegateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import edgegateway.policy.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

class WireLineTest {
  private static WireLine line(String text) {
    return new WireLine(7, text);
  }

  private static void assertMalformed(String reason, String text, Executable reading) {
    assertEquals(
        "line 7: " + reason + ": " + text,
        assertThrows(MalformedInputException.class, reading).getMessage());
  }

  @Test
  void valuesAreReadByPosition() throws Exception {
    WireLine line = line("word 5 -2.5 S 1,2.5 x");
    assertEquals("word", line.firstWord());
    assertEquals(5, line.integer(1));
    assertEquals(5, line.whole(1));
    assertEquals(-2.5, line.number(2));
    assertEquals(Outcome.OK, line.outcome(3));
    assertEquals(List.of(1.0, 2.5), line.numbers(4));
    assertEquals("x", line.text(5));
  }

  @Test
  void anAbsentValueIsZero() throws Exception {
    WireLine line = line("word -");
    assertEquals(0, line.whole(1));
    assertEquals(0, line.number(1));
    assertEquals(List.of(), line.numbers(1));
    assertEquals(List.of(), line.numbers(2));
  }

  @Test
  void eachOutcomeHasALetter() throws Exception {
    WireLine line = line("S E F T C R X N");
    for (Outcome outcome : Outcome.values()) {
      assertEquals(outcome, line.outcome(outcome.ordinal()));
    }
  }

  @Test
  void anErrorSaysWhatIsWrongWithWhichValue() {
    assertMalformed("value 1 is missing", "word", () -> line("word").text(1));
    assertMalformed("value 1 is missing", "word  x", () -> line("word  x").text(1));
    assertMalformed("value 1 is not a whole number", "word 1.5", () -> line("word 1.5").whole(1));
    assertMalformed(
        "value 1 is out of range", "word 3000000000", () -> line("word 3000000000").integer(1));
    assertMalformed("value 1 is not a number", "word x", () -> line("word x").number(1));
    assertMalformed("value 1 is not finite", "word NaN", () -> line("word NaN").number(1));
    assertMalformed(
        "value 1 is not a row of numbers", "word 1,x", () -> line("word 1,x").numbers(1));
    assertMalformed("unknown outcome", "word s", () -> line("word s").outcome(1));
  }

  @Test
  void anEmptyLineHasAnEmptyFirstWord() {
    assertEquals("", line("").firstWord());
    assertEquals("", line("  ").firstWord());
  }

  @Test
  void aLongLineIsQuotedInPart() {
    String text = "z".repeat(300);
    assertMalformed(
        "odd",
        "z".repeat(200),
        () -> {
          throw line(text).malformed("odd");
        });
  }
}
