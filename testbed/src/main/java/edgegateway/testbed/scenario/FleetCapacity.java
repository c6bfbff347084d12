package edgegateway.testbed.scenario;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.workload.RequestArrival;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the archive servers that run could do at best, as they die, start and warm up. Links, slow
 * and failing servers are not in it.
 */
final class FleetCapacity {
  private static final double SECOND = 1e9;
  private static final int STEPS = 20;

  /** A life of a server; {@code warmFrom} is when it began to warm. */
  private record Life(long from, long until, long warmFrom) {}

  private final FakeArchiveServerSettings terms;
  private final List<Life> lives = new ArrayList<>();

  /** All servers run warm until the history, in the order of its times, says else. */
  FleetCapacity(Scenario scenario, List<HistoryEvent> history) {
    terms = scenario.servers().terms();
    Map<String, Life> running = new HashMap<>();
    scenario
        .topology()
        .topology()
        .servers()
        .forEach(
            server ->
                running.put(
                    server.name(), new Life(Long.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE)));
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.ServerDied died && running.containsKey(died.server())) {
        Life life = running.remove(died.server());
        lives.add(new Life(life.from, died.at(), life.warmFrom));
      } else if (event instanceof HistoryEvent.ServerStarted started) {
        running.put(started.server(), new Life(started.at(), Long.MAX_VALUE, started.at()));
      }
    }
    lives.addAll(running.values());
  }

  /** Work that they could do in a span, in nanoseconds of a core. */
  double between(long from, long until) {
    double sum = 0;
    for (int i = 0; i < STEPS; i++) {
      long at = from + (until - from) * i / STEPS;
      for (Life life : lives) {
        if (life.from <= at && at < life.until) {
          sum +=
              terms.cores()
                  * (life.warmFrom == Long.MIN_VALUE
                      ? 1
                      : FakeArchiveServer.slowStartFactor(terms, at - life.warmFrom));
        }
      }
    }
    return sum / STEPS * (until - from);
  }

  /**
   * The most worth of these arrivals, all of one span of that work, that could be served: the
   * dearest first, as far as it goes.
   */
  static double possible(Scenario scenario, List<RequestArrival> arrivals, double work) {
    double left = work;
    double worth = 0;
    for (RequestArrival one :
        arrivals.stream()
            .sorted(Comparator.comparingDouble((RequestArrival each) -> -worth(scenario, each)))
            .toList()) {
      left -= one.work();
      if (left < 0) {
        break;
      }
      worth += worth(scenario, one);
    }
    return worth;
  }

  static double worth(Scenario scenario, RequestArrival of) {
    return scenario.load().classes().get(of.requestClass()).worth()
        * scenario.load().plans().get(of.plan()).price();
  }
}
