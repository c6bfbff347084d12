package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how connections with pipelined requests share the event loop. */
class PipelineSchedulerTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final PipelineScheduler scheduler = new PipelineScheduler(channel.eventLoop());
  private final List<String> turns = new ArrayList<>();

  private void takeTurns(String name, int count) {
    if (count > 0) {
      turns.add(name);
      scheduler.add(() -> takeTurns(name, count - 1));
    }
  }

  @Test
  void connectionsTakeTurns() {
    scheduler.add(() -> takeTurns("a", 2));
    scheduler.add(() -> takeTurns("b", 2));
    channel.runPendingTasks();
    assertEquals(List.of("a", "b", "a", "b"), turns);
  }

  private void runForEver() {
    scheduler.add(this::runForEver);
  }

  @Test
  @Timeout(30)
  void aConnectionWithoutEndLeavesTheEventLoopToOthers() {
    scheduler.add(this::runForEver);
    channel.runPendingTasks();
    channel.eventLoop().execute(() -> turns.add("other"));
    channel.runPendingTasks();
    assertEquals(List.of("other"), turns);
  }
}
