package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.processes.ProcessUsage;
import edgegateway.testbed.scale.ScaleFile.SocketsSize;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a calm span came to: differences of two moments by node and second, by the names of a
 * point's figures.
 */
final class SteadyStateMetrics {
  private static final double SECOND = 1e9;
  private static final double MB = 1 << 20;

  private final SocketsSize size;
  private final Map<String, Double> figures;

  /** They are put among these figures. */
  SteadyStateMetrics(SocketsSize size, Map<String, Double> figures) {
    this.size = size;
    this.figures = figures;
  }

  /**
   * Figures of the calm span: of control by node, of calls and requests by the nodes that are
   * asked.
   */
  void calm(MetricsSnapshot first, MetricsSnapshot last) {
    double span = (last.at() - first.at()) / SECOND;
    double nodes = size.real() + size.hollow();
    double asked =
        (size.realRequestsPerS() > 0 ? size.real() : 0)
            + (size.hollowRequestsPerS() > 0 ? size.hollow() : 0);
    FakePlatform.Counts from = first.counts();
    FakePlatform.Counts to = last.counts();
    figures.put(
        "discovery-to-node-bytes-per-node-s",
        (to.discoveryOut() - from.discoveryOut()) / nodes / span);
    figures.put(
        "discovery-from-node-bytes-per-node-s",
        (to.discoveryIn() - from.discoveryIn()) / nodes / span);
    figures.put("answers-cut", (double) (to.cut() - from.cut()));
    if (asked > 0) {
      double calls = to.calls() - from.calls();
      double attempts = to.attempts() - from.attempts();
      figures.put("counter-calls-per-asked-node-s", calls / asked / span);
      figures.put(
          "counter-to-node-bytes-per-asked-node-s",
          (to.counterOut() - from.counterOut()) / asked / span);
      figures.put(
          "counter-from-node-bytes-per-asked-node-s",
          (to.counterIn() - from.counterIn()) / asked / span);
      if (calls > 0) {
        figures.put("counter-added-share", (to.answered() - from.answered()) / calls);
        figures.put("counter-late-share", (to.late() - from.late()) / calls);
        figures.put("counter-turned-away-share", (to.turnedAway() - from.turnedAway()) / calls);
      }
      figures.put(
          "archive-servers-to-node-bytes-per-asked-node-s",
          (to.serversOut() - from.serversOut()) / asked / span);
      figures.put(
          "archive-servers-from-node-bytes-per-asked-node-s",
          (to.serversIn() - from.serversIn()) / asked / span);
      double tries = last.sum("app.upstream_tries") - first.sum("app.upstream_tries");
      figures.put("attempts-per-asked-node-s", tries / asked / span);
      figures.put(
          "connections-open-per-asked-node",
          last.sum("app.connections.archive_servers.open") / asked);
      if (tries > 0 && attempts > 0) {
        figures.put(
            "connections-opened-per-attempt",
            (last.sum("app.connections.archive_servers.opened")
                    - first.sum("app.connections.archive_servers.opened"))
                / tries);
        figures.put(
            "connections-reused-per-attempt",
            (last.sum("app.connections.archive_servers.reused")
                    - first.sum("app.connections.archive_servers.reused"))
                / tries);
      }
    }
    usage(first, last, span);
  }

  private void usage(MetricsSnapshot first, MetricsSnapshot last, double span) {
    if (size.real() > 0) {
      figures.put("real-cpu-core-share", last.realCpuS(first) / size.real() / span);
      Map<String, Double> threads = new TreeMap<>();
      for (int i = 0; i < size.real(); i++) {
        last.reals()
            .get(i)
            .byThread()
            .forEach((name, cpu) -> threads.merge(kind(name), cpu, Double::sum));
        first
            .reals()
            .get(i)
            .byThread()
            .forEach((name, cpu) -> threads.merge(kind(name), -cpu, Double::sum));
      }
      threads.forEach(
          (kind, cpu) ->
              figures.put(
                  "real-cpu-" + kind + "-core-share", Math.max(0, cpu) / size.real() / span));
      figures.put(
          "real-resident-mb",
          last.reals().stream().mapToLong(ProcessUsage::residentBytes).sum() / MB / size.real());
      figures.put(
          "real-resident-most-mb",
          last.reals().stream().mapToLong(ProcessUsage::residentBytes).max().orElseThrow() / MB);
      figures.put("real-longest-turn-before-ms", first.longestTurnMs());
      figures.put("real-longest-turn-ms", last.longestTurnMs());
    }
    if (size.hollow() > 0) {
      figures.put(
          "hollow-cpu-core-share",
          (last.hollow().cpuS() - first.hollow().cpuS()) / size.hollow() / span);
      figures.put("hollow-resident-mb", last.hollow().residentBytes() / MB / size.hollow());
    }
  }

  /** What a thread does, by its name: the client loop and the operators' have one name. */
  private static String kind(String thread) {
    return thread.startsWith("multiThread")
        ? "loops"
        : thread.startsWith("C1")
            ? "compiler"
            : thread.startsWith("VM Thread") ? "collector" : "others";
  }
}
