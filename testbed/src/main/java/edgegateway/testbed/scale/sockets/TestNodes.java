package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.processes.ProcessUsage;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The nodes of a play, real and hollow, with what they speak with.
 *
 * @param hollows null if there are none
 * @param listings when hollow nodes went by which version of the list
 */
record TestNodes(
    SocketsSize size,
    FakePlatform standIns,
    RealNodeProcesses reals,
    HollowNodeProcess hollows,
    RevisionTracker listings) {
  /** How many there are. */
  double count() {
    return size.real() + size.hollow();
  }

  /** Processor time of all real nodes up to now, in seconds. */
  double realCpuS() throws IOException {
    double sum = 0;
    for (int i = 0; i < size.real(); i++) {
      sum += reals.usage(i).cpuS();
    }
    return sum;
  }

  /** All that counts up, now. */
  MetricsSnapshot now() throws IOException, InterruptedException {
    List<ProcessUsage> usages = new ArrayList<>();
    List<Map<String, Long>> vars = new ArrayList<>();
    for (int i = 0; i < size.real(); i++) {
      usages.add(reals.usage(i));
      vars.add(reals.figures(i));
    }
    return new MetricsSnapshot(
        System.nanoTime(),
        standIns.counts(),
        usages,
        vars,
        hollows == null ? null : hollows.usage(),
        hollows == null ? Map.of() : hollows.figures());
  }
}
