package edgegateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgegateway.policy.api.PolicyActions;
import java.io.IOException;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/**
 * The keywords here are literals and not {@link SimulatorWire}'s constants, because the simulator
 * uses them: they must stay when code is renamed.
 */
class WireWriterTest {
  private final StringWriter out = new StringWriter();
  private final WireWriter writer = new WireWriter(out);
  private final PolicyActions actions = writer.actionsOf(3);

  private String reply() throws IOException {
    out.getBuffer().setLength(0);
    writer.flush();
    return out.toString();
  }

  @Test
  void replyWithoutActionsIsOnlyItsEnd() throws IOException {
    assertEquals("yield\n", reply());
  }

  @Test
  void writesEachActionAsALine() throws IOException {
    actions.sendAttempt("r-1", "s-1", 80_000_000);
    actions.reject("r-2", 0);
    actions.fail("r-3");
    actions.healthCheck("s-2");
    actions.scheduleTimer(77, 500_000_000);
    actions.subscribeToEndpoints();
    actions.log("two servers known");
    assertEquals(
        "try 3 r-1 s-1 80000000\ndecline 3 r-2 0\nsurrender 3 r-3\ninspect 3 s-2\n"
            + "after 3 77 500000000\nsubscribe 3 1\nrecord 3 two servers known\nyield\n",
        reply());
  }

  @Test
  void writesAmountsWithoutExponentAndIntegersWithoutDecimalPoint() throws IOException {
    actions.addToCounter(9_041_552, 4, 3_000_000_000L);
    actions.addToCounter(1, -2.5, 1);
    actions.addToCounter(1, 0.000001, 1);
    actions.addToCounter(1, 0, 1);
    assertEquals(
        "enter 3 3000000000 4 9041552\nenter 3 1 -2.5 1\nenter 3 1 0.0000010 1\nenter 3 1 0 1\n"
            + "yield\n",
        reply());
  }

  @Test
  void writesActionsOfAllNodesInTheOrderOfTheCalls() throws IOException {
    actions.fail("r-1");
    writer.actionsOf(4).fail("r-2");
    actions.fail("r-3");
    assertEquals("surrender 3 r-1\nsurrender 4 r-2\nsurrender 3 r-3\nyield\n", reply());
    assertEquals("yield\n", reply());
  }
}
