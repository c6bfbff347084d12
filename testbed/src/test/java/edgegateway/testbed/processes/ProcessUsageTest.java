package edgegateway.testbed.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is read of a process, against what this one knows of itself. */
class ProcessUsageTest {
  private static final long LEAST_NS = 100_000_000L;

  @Test
  void processorTimeAndMemoryAreThisProcesss() throws Exception {
    ProcessUsage before = ProcessUsage.of(ProcessHandle.current().pid());
    long begun = System.nanoTime();
    long sum = 0;
    while (System.nanoTime() - begun < LEAST_NS) {
      sum += System.nanoTime() % 7;
    }
    ProcessUsage after = ProcessUsage.of(ProcessHandle.current().pid());
    assertTrue(sum > 0 && after.cpuS() > before.cpuS(), () -> before + " " + after);
    assertTrue(after.residentBytes() > 1 << 20, after::toString);
    assertTrue(
        after.byThread().values().stream().mapToDouble(cpu -> cpu).sum() <= after.cpuS() + 0.5,
        after::toString);
  }

  @Test
  void whoHasEndedIsTold() throws Exception {
    Process ended = new ProcessBuilder("true").start();
    ended.waitFor();
    assertThrows(IOException.class, () -> ProcessUsage.of(ended.pid()));
  }

  @Test
  void figuresAreTheLinesThatAreNumbers() {
    assertEquals(
        Map.of("app.a", 7L, "app.b.c", -1L),
        OperatorClient.figures("app.a=7\napp.b.c=-1\napp.d=x\n--\n"));
  }
}
