package edgegateway.testbed.scale.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.scale.ScaleFile;
import edgegateway.testbed.scale.ScaleFile.ControlTrouble;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import edgegateway.testbed.scale.ScaleFile.SocketsSizes;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Small plays over loopback. */
@Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SocketScaleRunTest {
  private static final long SEED = 1;
  @TempDir Path folder;

  private SortedMap<String, Double> play(SocketsSize size, double fromS, double spanS)
      throws Exception {
    ScaleFile target = ScaleFile.read(Path.of("scale", "target.yaml"));
    ScaleFile file =
        new ScaleFile(
            target.name(),
            SEED,
            target.regions(),
            target.servers(),
            target.counter(),
            target.load(),
            target.busy(),
            target.idleS(),
            null,
            new SocketsSizes(fromS, spanS, List.of(size)));
    return SocketScaleRun.play(
            file, size, SEED, line -> {}, DeployFile.read(Path.of("..").toRealPath()), folder)
        .figures();
  }

  private static void every(SortedMap<String, Double> figures, String... changes) {
    for (String change : changes) {
      assertEquals(0, figures.get(change + "-missed-nodes"), () -> "seed " + SEED + ": " + figures);
    }
  }

  @Test
  void realAndHollowNodesHearOfAllChanges() throws Exception {
    SortedMap<String, Double> figures = play(new SocketsSize(3, 20, 0, 200, 40, 0, null), 1, 3);
    every(figures, "change-of-one", "rollout", "zone", "whole-list");
    assertTrue(figures.get("real-served-share") > 0.8, () -> "seed " + SEED + ": " + figures);
    assertTrue(
        figures.get("counter-calls-per-asked-node-s") > 0.5, () -> "seed " + SEED + ": " + figures);
    assertTrue(
        figures.get("connections-opened-per-attempt") > 0, () -> "seed " + SEED + ": " + figures);
    // 200 entries of some 135 bytes, once to each.
    assertTrue(
        figures.get("whole-list-bytes-per-node") > 20_000
            && figures.get("whole-list-bytes-per-node") < 40_000,
        () -> "seed " + SEED + ": " + figures);
  }

  @Test
  void aSizeThatDoesNotFitIsRefusedBeforeItStarts() {
    IOException refused =
        assertThrows(
            IOException.class, () -> play(new SocketsSize(20, 10_000, 0, 8_900, 0, 0, null), 1, 2));
    assertTrue(refused.getMessage().contains("memory: "), refused.getMessage());
    assertTrue(refused.getMessage().contains(" MB is the most here"), refused.getMessage());
    assertEquals(1, refused.getMessage().lines().count());
    assertEquals(0, folder.toFile().list().length);
  }

  @Test
  void descriptorsAreCountedForEachProcess() {
    MachineCapacity fit = new MachineCapacity(1L << 40, 1_000);
    fit.check(new SocketsSize(3, 50, 0, 200, 0, 0, null));
    String more =
        assertThrows(
                IllegalArgumentException.class,
                () -> fit.check(new SocketsSize(3, 50, 0, 200, 70, 0, null)))
            .getMessage();
    assertEquals("descriptors of the testbed's process: 2124 wanted, 1000 is the most here", more);
    String servers =
        assertThrows(
                IllegalArgumentException.class,
                () -> fit.check(new SocketsSize(1, 0, 0, 100_000, 0, 0, null)))
            .getMessage();
    assertEquals("servers: 100000 wanted, 65000 is the most here", servers);
  }

  @Test
  void answersOfTheCounterThatAreCutAreCountedAndNoHang() throws Exception {
    SortedMap<String, Double> figures =
        play(new SocketsSize(3, 2, 0, 20, 40, 0, ControlTrouble.COUNTER_CUTS), 1, 3);
    assertTrue(figures.get("answers-cut") > 0, () -> "seed " + SEED + ": " + figures);
    every(figures, "change-of-one", "whole-list");
  }

  @Tag("measure")
  @ParameterizedTest
  @EnumSource
  void noTroubleOfAControlMachineHangsARun(ControlTrouble trouble) throws Exception {
    SortedMap<String, Double> figures = play(new SocketsSize(3, 20, 0, 200, 70, 0, trouble), 5, 15);
    System.out.println(trouble + " " + figures);
    every(figures, "change-of-one", "rollout", "zone", "whole-list");
    switch (trouble) {
      case COUNTER_STOPS ->
          assertTrue(
              figures.get("counter-added-share") < 0.9, () -> "seed " + SEED + ": " + figures);
      case COUNTER_SLOW ->
          assertTrue(
              figures.get("counter-late-share") > 0.1, () -> "seed " + SEED + ": " + figures);
      case COUNTER_CUTS, DISCOVERY_CUTS ->
          assertTrue(figures.get("answers-cut") > 0, () -> "seed " + SEED + ": " + figures);
      case DISCOVERY_STOPS ->
          assertTrue(
              figures.get("discovery-to-node-bytes-per-node-s") < 3,
              () -> "seed " + SEED + ": " + figures);
    }
  }

  /** The same nodes and requests, hollow and real: figures that differ by a tenth at the most. */
  @Tag("measure")
  @Test
  void aHollowNodeIsTrue() throws Exception {
    SortedMap<String, Double> real = play(new SocketsSize(3, 0, 100, 1_000, 70, 0, null), 10, 40);
    SortedMap<String, Double> hollow = play(new SocketsSize(0, 3, 100, 1_000, 0, 70, null), 10, 40);
    for (String figure :
        List.of(
            "counter-calls-per-asked-node-s",
            "counter-to-node-bytes-per-asked-node-s",
            "counter-from-node-bytes-per-asked-node-s",
            "discovery-to-node-bytes-per-node-s",
            "archive-servers-to-node-bytes-per-asked-node-s",
            "archive-servers-from-node-bytes-per-asked-node-s",
            "attempts-per-asked-node-s",
            "connections-opened-per-attempt",
            "connections-reused-per-attempt",
            "connections-open-per-asked-node",
            "change-of-one-bytes-per-node",
            "rollout-bytes-per-node",
            "zone-bytes-per-node",
            "whole-list-bytes-per-node")) {
      System.out.printf(
          Locale.ROOT,
          "%-50s real %12.3f hollow %12.3f ratio %.3f%n",
          figure,
          real.get(figure),
          hollow.get(figure),
          hollow.get(figure) / real.get(figure));
    }
    System.out.println("real " + real);
    System.out.println("hollow " + hollow);
    for (String figure :
        List.of(
            "counter-calls-per-asked-node-s",
            "counter-to-node-bytes-per-asked-node-s",
            "counter-from-node-bytes-per-asked-node-s",
            "discovery-to-node-bytes-per-node-s",
            "archive-servers-to-node-bytes-per-asked-node-s",
            "archive-servers-from-node-bytes-per-asked-node-s",
            "connections-opened-per-attempt",
            "connections-open-per-asked-node",
            "whole-list-bytes-per-node")) {
      assertEquals(1, hollow.get(figure) / real.get(figure), 0.1, "seed " + SEED + ": " + figure);
    }
  }
}
