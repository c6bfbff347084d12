package edgegateway.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Runs the adapter as a process: batches, absent values and errors about malformed input. */
class SimulatorAdapterTest {
  private record Result(int exitStatus, String out, String err) {}

  private static Result runAdapter(String input) throws IOException, InterruptedException {
    Process process =
        new ProcessBuilder(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "-cp",
                System.getProperty("java.class.path"),
                "edgegateway.simulator.SimulatorAdapter",
                "drill")
            .start();
    try (var in = process.getOutputStream()) {
      in.write(input.getBytes(StandardCharsets.UTF_8));
    }
    String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    return new Result(process.exitValue(), out, err);
  }

  @Test
  void emptyBatchGetsEmptyReply() throws Exception {
    assertEquals(
        new Result(0, "yield\nyield\n", ""), runAdapter("mark 5\ncommit\nmark 6\ncommit\n"));
  }

  @Test
  void runsANodeUntilItIsStopped() throws Exception {
    String start =
        "start 3 9 classes.count=1 classes.0.aim-ns=500000000 classes.0.deadline-ns=900000000 "
            + "classes.0.idempotency=retryable classes.0.worth=1 caps.max-attempts=2 tariffs.count=1 odd.key=- ";
    Result result =
        runAdapter(
            "mark 5\n"
                + start
                + "\nview 3 1 1 1\nentry 1 0 1 - 0 srv 0\n"
                + "ingress 3 r-a 0 0 77 800000005 1 1 0 -\nretire 3\ncommit\n");
    assertEquals(0, result.exitStatus, result.err);
    assertTrue(result.out.contains("try 3 r-a srv "), result.out);
    Result stopped = runAdapter("mark 5\n" + start + "\nretire 3\nreminder 3 0\ncommit\n");
    assertEquals(1, stopped.exitStatus);
    assertTrue(stopped.err.contains("line 4"), stopped.err);
  }

  @Test
  void malformedInputExitsWithTheLineNumber() throws Exception {
    for (String malformed :
        new String[] {"hello\n", "mark x\n", "mark 5\nnonsense 1\n", "mark 5\nreminder one 2\n"}) {
      Result result = runAdapter(malformed);
      assertEquals(1, result.exitStatus, malformed);
      assertTrue(result.err.startsWith("line "), result.err);
    }
  }
}
