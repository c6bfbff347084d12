package edgegateway.node.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Plays the two processes of an upgrade, whose steps are interleaved by the test. */
class EjectionStoreTest {
  private static final int SEEDS = 150;
  private static final int STEPS = 120;
  private static final int NAMES = 5;

  @TempDir Path folder;

  /** One process: its ejections in force, and the steps of its two threads that are due. */
  private static final class FakeProcess {
    final Queue<Runnable> fileThread = new ArrayDeque<>();
    final Queue<Runnable> eventLoop = new ArrayDeque<>();
    final Set<String> inForce = new HashSet<>();
    final EjectionStore store;

    FakeProcess(Path folder) {
      EjectionFile file = new EjectionFile(folder, "left-out");
      store = new EjectionStore(file, "endpoints", fileThread::add, eventLoop::add);
    }

    CompletableFuture<Void> command(String name, boolean ejected) {
      setInForce(name, ejected);
      return store
          .store(name, ejected)
          .whenComplete(
              (none, failure) -> {
                if (failure != null) {
                  setInForce(name, store.isStoredAsEjected(name));
                }
              });
    }

    private void setInForce(String name, boolean ejected) {
      if (ejected) {
        inForce.add(name);
      } else {
        inForce.remove(name);
      }
    }

    void refresh() {
      Set<String> names = store.readIfChanged();
      if (names != null) {
        inForce.clear();
        inForce.addAll(names);
      }
    }

    void step(Queue<Runnable> thread) {
      Runnable next = thread.poll();
      if (next != null) {
        next.run();
      }
    }

    void finish() {
      while (!fileThread.isEmpty() || !eventLoop.isEmpty()) {
        step(fileThread);
        step(eventLoop);
      }
    }
  }

  /** A command that has no answer; until it has one, no other command is given about its name. */
  private record OpenCommand(String name, boolean ejected, CompletableFuture<Void> stored) {}

  /**
   * Guards against an accepted ejection that is lost, or comes back, as both processes of an
   * upgrade write: whatever the interleaving, the last command about a name holds at both, and in
   * the file. One of the two processes is killed and replaced in between, and the disk fails.
   */
  @Test
  void theLastCommandAboutEachNameHoldsAtBothProcesses() throws Exception {
    for (int seed = 0; seed < SEEDS; seed++) {
      Path shared = Files.createDirectory(folder.resolve("seed-" + seed));
      playRandomSteps(new Random(seed), shared, "seed " + seed);
    }
  }

  private static void playRandomSteps(Random random, Path shared, String seed) throws IOException {
    Path obstacle = shared.resolve("left-out.json.draft");
    List<FakeProcess> processes = new ArrayList<>(List.of(start(shared), start(shared)));
    Map<String, Boolean> expected = new HashMap<>();
    Map<String, OpenCommand> open = new HashMap<>();
    for (int step = 0; step < STEPS; step++) {
      FakeProcess process = processes.get(random.nextInt(processes.size()));
      switch (random.nextInt(8)) {
        case 0, 1 -> {
          String name = "s-" + random.nextInt(NAMES);
          boolean ejected = random.nextBoolean();
          if (!open.containsKey(name)) {
            open.put(name, new OpenCommand(name, ejected, process.command(name, ejected)));
          }
        }
        case 2 -> process.refresh();
        case 3, 4 -> process.step(process.fileThread);
        case 5 -> process.step(process.eventLoop);
        case 6 -> {
          if (random.nextInt(4) == 0) {
            toggleObstacle(obstacle);
          }
        }
        default -> {
          if (random.nextInt(6) == 0 && open.isEmpty()) {
            // A kill between two steps.
            processes.set(processes.indexOf(process), start(shared));
          }
        }
      }
      open.values().removeIf(command -> isAnswered(command, expected));
    }
    if (Files.isDirectory(obstacle)) {
      toggleObstacle(obstacle);
    }
    processes.forEach(FakeProcess::finish);
    open.values().forEach(command -> isAnswered(command, expected));
    processes.add(start(shared));
    assertHoldsAtAll(processes, ejectedOf(expected), seed);
  }

  private static void assertHoldsAtAll(
      List<FakeProcess> processes, Set<String> expected, String seed) {
    for (FakeProcess process : processes) {
      process.refresh();
      assertEquals(expected, process.inForce, seed);
    }
  }

  private static FakeProcess start(Path shared) {
    FakeProcess process = new FakeProcess(shared);
    process.refresh();
    return process;
  }

  /** Whether a command was answered; one that has failed has no effect. */
  private static boolean isAnswered(OpenCommand command, Map<String, Boolean> expected) {
    if (command.stored().isDone() && !command.stored().isCompletedExceptionally()) {
      expected.put(command.name(), command.ejected());
    }
    return command.stored().isDone();
  }

  private static Set<String> ejectedOf(Map<String, Boolean> expected) {
    Set<String> names = new HashSet<>(expected.keySet());
    names.removeIf(name -> !expected.get(name));
    return names;
  }

  /** A folder in the place of the draft makes each update fail. */
  private static void toggleObstacle(Path obstacle) throws IOException {
    if (Files.isDirectory(obstacle)) {
      Files.delete(obstacle);
    } else {
      Files.deleteIfExists(obstacle);
      Files.createDirectory(obstacle);
    }
  }

  @Test
  void aCommandThatIsNotStoredFailsAndHasNoEffect() throws Exception {
    Path obstacle = Files.createDirectory(folder.resolve("left-out.json.draft"));
    FakeProcess process = new FakeProcess(folder);
    CompletableFuture<Void> stored = process.command("s-0", true);
    assertEquals(Set.of("s-0"), process.inForce);
    process.finish();
    assertTrue(stored.isCompletedExceptionally());
    assertEquals(Set.of(), process.inForce);
    Files.delete(obstacle);
    process.command("s-1", true);
    process.finish();
    process.refresh();
    assertEquals(Set.of("s-1"), process.inForce);
  }
}
