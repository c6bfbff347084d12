package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.processes.ProcessUsage;
import java.util.List;
import java.util.Map;

/**
 * All that counts up, at one moment.
 *
 * @param at nanoseconds of the machine's clock
 * @param counts at the stand-ins
 * @param reals what each real node's process has used
 * @param vars what operators read of each real node
 * @param hollow what the hollow nodes' process has used; null if there is none
 * @param hollowVars what operators would read of the hollow nodes
 */
record MetricsSnapshot(
    long at,
    FakePlatform.Counts counts,
    List<ProcessUsage> reals,
    List<Map<String, Long>> vars,
    ProcessUsage hollow,
    Map<String, HollowNodeProcess.Figure> hollowVars) {
  /** A figure that operators read, over all real and hollow nodes. */
  long sum(String name) {
    return vars.stream().mapToLong(one -> one.getOrDefault(name, 0L)).sum()
        + (hollowVars.containsKey(name) ? hollowVars.get(name).sum() : 0);
  }

  /** The longest turn of any real node's loop since its process began, in milliseconds. */
  double longestTurnMs() {
    return vars.stream()
        .mapToLong(one -> one.getOrDefault("app.loop.longest_standstill_ms", 0L))
        .max()
        .orElse(0);
  }

  /** Processor time of all real nodes up to then, in seconds. */
  double realCpuS() {
    return reals.stream().mapToDouble(ProcessUsage::cpuS).sum();
  }

  /** The same since an earlier moment. */
  double realCpuS(MetricsSnapshot before) {
    return realCpuS() - before.realCpuS();
  }
}
