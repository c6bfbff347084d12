package edgegateway.testbed.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.processes.NodeProcess.Signal;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the shell's in the place of edge nodes. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NodeProcessTest {
  @TempDir Path folder;
  private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
  private ProcessGuard guard;

  /** A lab of its own that is killed: it says which process it began. */
  static final class Lab {
    private Lab() {}

    public static void main(String[] args) throws Exception {
      NodeProcess node =
          NodeProcess.start(
              new DeployFile(Path.of("."), "exec sleep 600"),
              Path.of(args[0]),
              Map.of(),
              new ProcessGuard(),
              line -> {});
      System.out.println(node.pid());
      Thread.sleep(600_000);
    }
  }

  @BeforeEach
  void open() throws IOException {
    guard = new ProcessGuard();
  }

  @AfterEach
  void close() throws IOException {
    guard.close();
  }

  private NodeProcess start(String run) throws IOException {
    return NodeProcess.start(
        new DeployFile(folder, run),
        folder,
        Map.of("GW_NAME", "n3"),
        guard,
        line -> log.add(line.text()));
  }

  private static boolean lives(long pid) {
    return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
  }

  @Test
  void itRunsAsTheDeployFileSaysAndIsStoppedPausedAndKilled() throws Exception {
    Files.createDirectories(folder.resolve("deploy"));
    Files.writeString(
        folder.resolve(DeployFile.PLACE),
        "build = \"true\"\nrun = \"trap 'echo drains; exit 0' TERM; "
            + "echo $GW_NAME in $TMPDIR; while :; do sleep 0.02; done\"\n");
    DeployFile deploy = DeployFile.read(folder);
    NodeProcess node =
        NodeProcess.start(
            deploy, folder, Map.of("GW_NAME", "n3"), guard, line -> log.add(line.text()));
    assertEquals("n3 in " + folder, log.take());
    node.signal(Signal.STOP);
    node.signal(Signal.TERM);
    assertThrows(TimeoutException.class, () -> node.ended().get(200, TimeUnit.MILLISECONDS));
    node.signal(Signal.CONT);
    assertEquals("drains", log.take());
    assertEquals(0, node.ended().get());
    NodeProcess next = start("exec sleep 600");
    next.signal(Signal.KILL);
    assertEquals(137, next.ended().get());
    next.signal(Signal.KILL);
  }

  @Test
  void whatEndedIsForgottenAndWhatLivesEndsWithTheGuard() throws Exception {
    NodeProcess first = start("exec sleep 600");
    NodeProcess brief = start("exit 3");
    NodeProcess second = start("exec sleep 600");
    assertEquals(3, brief.ended().get());
    guard.close();
    assertEquals(137, first.ended().get());
    assertEquals(137, second.ended().get());
  }

  @Test
  void nothingIsLeftBehindByALabThatIsKilled() throws Exception {
    Process lab =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp",
                    System.getProperty("java.class.path"),
                    Lab.class.getName(),
                    folder.toString()))
            .start();
    long pid = Long.parseLong(lab.inputReader().readLine());
    assertTrue(lives(pid));
    lab.destroyForcibly().waitFor();
    ProcessHandle.of(pid).ifPresent(handle -> handle.onExit().join());
    assertFalse(lives(pid));
  }

  @Test
  void aDeployFileWithoutRunIsRefusedByName() throws Exception {
    Files.createDirectories(folder.resolve("deploy"));
    Files.writeString(folder.resolve(DeployFile.PLACE), "build = \"true\"\n");
    assertTrue(
        assertThrows(IOException.class, () -> DeployFile.read(folder))
            .getMessage()
            .endsWith("run is missing"));
  }
}
