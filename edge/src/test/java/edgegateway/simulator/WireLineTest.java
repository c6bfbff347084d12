package edgegateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import edgegateway.policy.api.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Tests access to the values of a line by position, and the errors about them. */
class WireLineTest {
  private static WireLine line(String text) {
    return new WireLine(7, text);
  }

  private static void assertMalformed(String reason, String text, Executable read) {
    assertEquals(
        "line 7: " + reason + ": " + text,
        assertThrows(MalformedInputException.class, read).getMessage());
  }

  @Test
  void readsValuesByPosition() throws Exception {
    WireLine line = line("word 5 -2.5 S 1,2.5 x");
    assertEquals("word", line.keyword());
    assertEquals(5, line.intAt(1));
    assertEquals(5, line.longAt(1));
    assertEquals(-2.5, line.doubleAt(2));
    assertEquals(Outcome.OK, line.outcomeAt(3));
    assertEquals(List.of(1.0, 2.5), line.doublesAt(4));
    assertEquals("x", line.textAt(5));
  }

  @Test
  void absentValueIsZeroOrAnEmptyList() throws Exception {
    WireLine line = line("word -");
    assertEquals(0, line.longAt(1));
    assertEquals(0, line.doubleAt(1));
    assertEquals(List.of(), line.doublesAt(1));
    assertEquals(List.of(), line.doublesAt(2));
  }

  @Test
  void readsEachOutcomeFromItsLetter() throws Exception {
    WireLine line = line("S E F T C R X N");
    for (Outcome outcome : Outcome.values()) {
      assertEquals(outcome, line.outcomeAt(outcome.ordinal()));
    }
  }

  @Test
  void errorNamesThePositionAndTheReason() {
    assertMalformed("value 1 is missing", "word", () -> line("word").textAt(1));
    assertMalformed("value 1 is missing", "word  x", () -> line("word  x").textAt(1));
    assertMalformed("value 1 is not an integer", "word 1.5", () -> line("word 1.5").longAt(1));
    assertMalformed(
        "value 1 is out of range", "word 3000000000", () -> line("word 3000000000").intAt(1));
    assertMalformed("value 1 is not a number", "word x", () -> line("word x").doubleAt(1));
    assertMalformed("value 1 is not finite", "word NaN", () -> line("word NaN").doubleAt(1));
    assertMalformed(
        "value 1 is not a list of numbers", "word 1,x", () -> line("word 1,x").doublesAt(1));
    assertMalformed("unknown outcome", "word s", () -> line("word s").outcomeAt(1));
  }

  @Test
  void lineWithoutFieldsHasAnEmptyKeyword() {
    assertEquals("", line("").keyword());
    assertEquals("", line("  ").keyword());
  }

  @Test
  void errorQuotesOnlyTheStartOfALongLine() {
    String text = "z".repeat(300);
    assertMalformed(
        "odd",
        "z".repeat(200),
        () -> {
          throw line(text).malformed("odd");
        });
  }
}
