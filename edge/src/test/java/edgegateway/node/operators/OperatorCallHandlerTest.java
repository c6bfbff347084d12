package edgegateway.node.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Tests which command at the node each operators' call executes, and the answers to commands,
 * queries and invalid calls.
 */
class OperatorCallHandlerTest {
  private final FakeNode node = new FakeNode();
  private final OperatorCallHandler handler = new OperatorCallHandler(node);

  private static final class FakeNode implements OperatorCommands {
    private final List<String> commands = new ArrayList<>();
    private boolean ready = true;

    /** The reason with which all commands fail; null if they succeed. */
    private String failureReason;

    private CompletableFuture<String> record(String command) {
      commands.add(command);
      return CompletableFuture.completedFuture(failureReason);
    }

    @Override
    public boolean ready() {
      return ready;
    }

    @Override
    public String metricsText() {
      return "app.in_progress=1\n";
    }

    @Override
    public CompletableFuture<String> zoneReport() {
      return CompletableFuture.completedFuture("a state=in\n");
    }

    @Override
    public CompletableFuture<String> drain(boolean on) {
      return record("drain " + on);
    }

    @Override
    public CompletableFuture<String> setEndpointEjected(String endpoint, boolean ejected) {
      return record("endpoint " + endpoint + " " + ejected);
    }

    @Override
    public CompletableFuture<String> setZoneEjected(
        String zone, boolean ejected, long rampSeconds) {
      return record("zone " + zone + " " + ejected + " " + rampSeconds);
    }

    @Override
    public int maxOperatorConnections() {
      return 1;
    }

    @Override
    public void descriptorsExhausted() {}
  }

  private void assertCommand(String line, String command) {
    assertEquals("ACK\n", handler.answer(line).join(), line);
    assertEquals(List.of(command), node.commands, line);
    node.commands.clear();
  }

  @Test
  void passesCommandsToTheNode() {
    assertCommand("set-down s-1", "endpoint s-1 true");
    assertCommand("  set-up \t s-1 ", "endpoint s-1 false");
    assertCommand("zone-out a", "zone a true 0");
    assertCommand("zone-in a", "zone a false 0");
    assertCommand("zone-in a 9999", "zone a false 9999");
    assertCommand("drain-on", "drain true");
    assertCommand("drain-off", "drain false");
  }

  @Test
  void answersAFailedCommandWithItsReason() {
    node.failureReason = "never listed";
    assertEquals("NAK never listed\n", handler.answer("set-down s-1").join());
  }

  @Test
  void answersQueries() {
    assertEquals("ACK\n", handler.answer("check").join());
    node.ready = false;
    assertEquals("NAK takes no clients now\n", handler.answer("check").join());
    assertEquals("app.in_progress=1\n--\n", handler.answer("vars").join());
    assertEquals("a state=in\n--\n", handler.answer("zones").join());
  }

  @Test
  void rejectsInvalidCallsWithoutACommand() {
    for (String line : List.of("", "nonsense", "CHECK", "check s-1", "vars x", "nonsense a b")) {
      assertEquals("NAK no such call\n", handler.answer(line).join(), line);
    }
    for (String line :
        List.of(
            "set-down",
            "set-up a b",
            "zone-out a 5",
            "zone-in",
            "zone-in a 0",
            "zone-in a 05",
            "zone-in a 10000",
            "zone-in a -1",
            "zone-in a 5 6")) {
      assertEquals(
          "NAK one name is wanted, and after zone-in's 1 to 9999 seconds or none\n",
          handler.answer(line).join(),
          line);
    }
    assertEquals(List.of(), node.commands);
  }
}
