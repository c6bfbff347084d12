package edgegateway.node.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** What each line of an operator has the node do, and its answer. */
class OperatorCallHandlerTest {
  private final FakeNode node = new FakeNode();
  private final OperatorCallHandler calls = new OperatorCallHandler(node);

  private static final class FakeNode implements OperatorCommands {
    private final List<String> commands = new ArrayList<>();
    private boolean ready = true;
    private String reason;

    private CompletableFuture<String> did(String command) {
      commands.add(command);
      return CompletableFuture.completedFuture(reason);
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
      return did("drain " + on);
    }

    @Override
    public CompletableFuture<String> setEndpointEjected(String server, boolean ejected) {
      return did("endpoint " + server + " " + ejected);
    }

    @Override
    public CompletableFuture<String> setZoneEjected(
        String zone, boolean ejected, long rampSeconds) {
      return did("zone " + zone + " " + ejected + " " + rampSeconds);
    }

    @Override
    public int maxOperatorConnections() {
      return 1;
    }

    @Override
    public void descriptorsExhausted() {}
  }

  private void assertDoes(String line, String command) {
    assertEquals("ACK\n", calls.answer(line).join(), line);
    assertEquals(List.of(command), node.commands, line);
    node.commands.clear();
  }

  @Test
  void commandsReachTheNode() {
    assertDoes("set-down s-1", "endpoint s-1 true");
    assertDoes("  set-up \t s-1 ", "endpoint s-1 false");
    assertDoes("zone-out a", "zone a true 0");
    assertDoes("zone-in a", "zone a false 0");
    assertDoes("zone-in a 9999", "zone a false 9999");
    assertDoes("drain-on", "drain true");
    assertDoes("drain-off", "drain false");
  }

  @Test
  void aCommandThatWasNotCarriedOutTellsWhy() {
    node.reason = "never listed";
    assertEquals("NAK never listed\n", calls.answer("set-down s-1").join());
  }

  @Test
  void whatIsAskedIsAnswered() {
    assertEquals("ACK\n", calls.answer("check").join());
    node.ready = false;
    assertEquals("NAK takes no clients now\n", calls.answer("check").join());
    assertEquals("app.in_progress=1\n--\n", calls.answer("vars").join());
    assertEquals("a state=in\n--\n", calls.answer("zones").join());
  }

  @Test
  void whatIsNoCallIsRefused() {
    for (String line : List.of("", "nonsense", "CHECK", "check s-1", "vars x", "nonsense a b")) {
      assertEquals("NAK no such call\n", calls.answer(line).join(), line);
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
          calls.answer(line).join(),
          line);
    }
    assertEquals(List.of(), node.commands);
  }
}
