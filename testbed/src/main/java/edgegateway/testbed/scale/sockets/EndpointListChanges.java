package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Changes of the list, one after the other, while requests go on, and when each is in force where:
 * one entry, a rollout of a service, a zone, and the whole list to all nodes at once.
 */
final class EndpointListChanges {
  private static final double SECOND = 1e9;
  private static final int ROLLOUT = 50;

  /** The longest wait for a change, in seconds. */
  private static final long CHANGE_S = 15;

  /** Between two looks at a real node's list, which cost it processor time. */
  private static final long LOOK_MS = 20;

  private final TestNodes nodes;
  private final SocketsSize size;
  private final int zones;
  private final Map<String, Double> figures;

  /**
   * When the last change was in force at all real nodes, and their processor time up to then; as
   * long as it was not, 0.
   */
  private long realsAt;

  private double realsCpuS;

  /** What they come to is put among these figures, which have those of the calm span already. */
  EndpointListChanges(TestNodes nodes, int zones, Map<String, Double> figures) {
    this.nodes = nodes;
    this.zones = zones;
    this.figures = figures;
    size = nodes.size();
  }

  /** Makes all. */
  void play() throws IOException, InterruptedException {
    change("change-of-one", List.of(size.servers() - 1));
    change("rollout", IntStream.range(0, Math.min(ROLLOUT, size.servers() / 2)).boxed().toList());
    change("zone", IntStream.range(0, size.servers()).filter(i -> i % zones == 0).boxed().toList());
    wholeList();
  }

  private void wholeList() throws IOException, InterruptedException {
    MetricsSnapshot before = nodes.now();
    // One entry differs: what a real node goes by tells that it has taken the list.
    long since = System.nanoTime();
    inForce(
        "whole-list",
        nodes.standIns().restartDiscovery(List.of(size.servers() - 1), Phase.TERMINATING),
        since,
        size.servers() - 1);
    MetricsSnapshot after = nodes.now();
    figures.put(
        "whole-list-bytes-per-node",
        (after.counts().discoveryOut() - before.counts().discoveryOut()) / nodes.count());
    if (size.real() > 0 && realsAt > 0) {
      // Requests go on meanwhile, and need what they did.
      double others = figures.get("real-cpu-core-share") * (realsAt - before.at()) / SECOND;
      figures.put(
          "whole-list-real-cpu-s",
          Math.max(0, (realsCpuS - before.realCpuS()) / size.real() - others));
    }
    if (size.real() > 0) {
      figures.put("real-longest-turn-with-changes-ms", after.longestTurnMs());
    }
    if (size.hollow() > 0) {
      figures.put(
          "whole-list-hollow-cpu-s",
          (after.hollow().cpuS() - before.hollow().cpuS()) / size.hollow());
    }
  }

  /** These drain, and are back as ever when that is in force everywhere. */
  private void change(String name, List<Integer> numbers) throws IOException, InterruptedException {
    long since = System.nanoTime();
    FakePlatform.Counts before = nodes.standIns().counts();
    inForce(
        name,
        nodes.standIns().change(numbers, Phase.TERMINATING, 0),
        since,
        size.servers() - numbers.size());
    figures.put(
        name + "-bytes-per-node",
        (nodes.standIns().counts().discoveryOut() - before.discoveryOut()) / nodes.count());
    inForce(
        null, nodes.standIns().change(numbers, Phase.READY, 0), System.nanoTime(), size.servers());
  }

  /**
   * Waits until all go by a version, real ones told by how many servers they may send to, and tells
   * when the first, the median and the last did; {@code name} is null if that is no figure.
   */
  private void inForce(String name, long revision, long since, int usable)
      throws IOException, InterruptedException {
    List<Double> spans = new ArrayList<>();
    List<Integer> left = new ArrayList<>(IntStream.range(0, size.real()).boxed().toList());
    long until = since + TimeUnit.SECONDS.toNanos(CHANGE_S);
    realsAt = 0;
    while (System.nanoTime() < until
        && !(left.isEmpty() && nodes.listings().everywhere(size.hollow(), revision))) {
      for (int node : List.copyOf(left)) {
        if (nodes.reals().usable(node) == usable) {
          spans.add((System.nanoTime() - since) / SECOND);
          left.remove((Integer) node);
        }
      }
      if (left.isEmpty() && realsAt == 0) {
        realsCpuS = nodes.realCpuS();
        realsAt = System.nanoTime();
      }
      Thread.sleep(LOOK_MS);
    }
    if (name != null && !spans.isEmpty()) {
      // Each hollow node waits for those on its loop: a whole list is longer in their way than in
      // that of real ones.
      figures.put(name + "-real-last-s", spans.get(spans.size() - 1));
    }
    for (double span : nodes.listings().spans(size.hollow(), revision, since)) {
      spans.add(span);
    }
    spans.sort(null);
    if (name != null) {
      figures.put(name + "-missed-nodes", nodes.count() - spans.size());
      if (!spans.isEmpty()) {
        figures.put(name + "-first-s", spans.get(0));
        figures.put(name + "-median-s", spans.get((spans.size() - 1) / 2));
        figures.put(name + "-last-s", spans.get(spans.size() - 1));
      }
    }
  }
}
