package edgegateway.testbed.scenario;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.checker.InvariantChecker;
import edgegateway.testbed.checker.Violation;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.workload.ArrivalGenerator;
import edgegateway.testbed.workload.ClientRetryPolicy;
import edgegateway.testbed.workload.RequestArrival;
import edgegateway.testbed.workload.WorkloadClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * What a play came to.
 *
 * @param arrivals a digest of what was asked
 * @param asked requests that arrived
 * @param goodput the share of the worth asked for that was answered within its aim, 0 to 1
 * @param possible the most that the capacity of the archive servers that ran allowed, 0 to 1 (edge
 *     nodes left out)
 * @param served answered with 200
 * @param refused answered with 429 or 503 at the last
 * @param failed with any other answer, none, or no connection
 * @param p50Ms median time of a served request, in milliseconds
 * @param p99Ms its 99th percentile
 * @param tries how often edge nodes were asked, clients' retries with them
 * @param attempts attempts that reached an archive server
 * @param fell archive servers that were pushed over
 * @param pressure the most of what any archive server may be sent while cold that it was sent, as a
 *     share; above 1 it fell over
 * @param recovery how it came back from its faults; null if it had none, or they last to the end
 * @param marks its faults, as the scenario has them
 * @param findings the broken rules
 */
public record RunResult(
    String scenario,
    long seed,
    String arrivals,
    int asked,
    double goodput,
    double possible,
    int served,
    int refused,
    int failed,
    double p50Ms,
    double p99Ms,
    int tries,
    long attempts,
    int fell,
    double pressure,
    RecoveryMetrics recovery,
    List<FaultInterval> marks,
    List<SecondMetrics> seconds,
    List<Violation> findings) {
  private static final double MS = 1e6;
  private static final double SECOND = 1e9;
  private static final long MOST = 60_000_000_000L;
  private static final int DIGITS = 3;
  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  /** A second while it is added up. */
  private static final class Sum {
    final List<RequestArrival> arrivals = new ArrayList<>();
    int served;
    int refused;
    double worth;
    double good;
    final Map<String, Integer> attempts = new TreeMap<>();
    final Set<String> reached = new HashSet<>();
    final Histogram times = new Histogram(MOST, DIGITS);

    SecondMetrics second(Scenario scenario, double work) {
      double servers = scenario.topology().servers();
      return new SecondMetrics(
          arrivals.size(),
          worth,
          good,
          FleetCapacity.possible(scenario, arrivals, work),
          served,
          refused,
          times.getValueAtPercentile(50) / MS,
          times.getValueAtPercentile(99) / MS,
          reached.size() / servers,
          work / (servers * scenario.servers().cores() * SECOND),
          attempts);
    }
  }

  /**
   * Judges a history and adds it up; {@code begun} is when arrivals began, {@code end} is after its
   * last event.
   */
  public static RunResult of(
      Scenario scenario,
      List<RequestArrival> arrivals,
      List<HistoryEvent> history,
      long begun,
      long end) {
    Map<String, String> zones = new HashMap<>();
    for (NetworkPeer server : scenario.topology().topology().servers()) {
      zones.put(server.name(), server.zone());
    }
    List<Sum> seconds = new ArrayList<>();
    for (int i = 0; i < Math.ceil(scenario.spanS()); i++) {
      seconds.add(new Sum());
    }
    Map<String, Long> askedAt = new HashMap<>();
    Map<String, HistoryEvent.ResponseReceived> answers = new HashMap<>();
    int tries = 0;
    int attempts = 0;
    int fell = 0;
    double pressure = 0;
    List<HistoryEvent> inOrder =
        history.stream().sorted(Comparator.comparingLong(HistoryEvent::at)).toList();
    for (HistoryEvent event : inOrder) {
      if (event instanceof HistoryEvent.RequestSent asked) {
        askedAt.putIfAbsent(ClientRetryPolicy.requestId(asked.id()), asked.at());
        tries++;
      } else if (event instanceof HistoryEvent.ResponseReceived answered) {
        answers.merge(
            ClientRetryPolicy.requestId(answered.id()),
            answered,
            (first, next) -> first.status() == OK ? first : next);
      } else if (event instanceof HistoryEvent.AttemptReceived sent) {
        attempts++;
        int at = (int) ((sent.at() - begun) / SECOND);
        if (at < seconds.size()) {
          seconds.get(at).reached.add(sent.server());
          seconds.get(at).attempts.merge(zones.get(sent.server()), 1, Integer::sum);
        }
      } else if (event instanceof HistoryEvent.ServerOverloaded) {
        fell++;
      } else if (event instanceof HistoryEvent.WarmUpPressure pressed) {
        pressure = Math.max(pressure, pressed.share());
      }
    }
    Histogram times = new Histogram(MOST, DIGITS);
    List<WorkloadClass> classes = scenario.classes();
    for (RequestArrival one : arrivals) {
      Sum in = seconds.get((int) (one.at() / SECOND));
      double its = FleetCapacity.worth(scenario, one);
      in.arrivals.add(one);
      in.worth += its;
      HistoryEvent.ResponseReceived answer = answers.get(one.id());
      if (answer != null && answer.status() == OK) {
        long took = answer.at() - askedAt.get(one.id());
        times.recordValue(Math.min(took, MOST));
        in.times.recordValue(Math.min(took, MOST));
        in.served++;
        in.good += took <= classes.get(one.requestClass()).latencyObjectiveNanos() ? its : 0;
      } else if (answer != null
          && (answer.status() == TOO_MANY || answer.status() == UNAVAILABLE)) {
        in.refused++;
      }
    }
    double worth = seconds.stream().mapToDouble(one -> one.worth).sum();
    double good = seconds.stream().mapToDouble(one -> one.good).sum();
    int served = seconds.stream().mapToInt(one -> one.served).sum();
    int refused = seconds.stream().mapToInt(one -> one.refused).sum();
    FleetCapacity capacity = new FleetCapacity(scenario, inOrder);
    List<SecondMetrics> all = new ArrayList<>();
    for (int i = 0; i < seconds.size(); i++) {
      long from = begun + (long) (i * SECOND);
      Sum one = seconds.get(i);
      all.add(one.second(scenario, capacity.between(from, from + (long) SECOND)));
    }
    double possible = all.stream().mapToDouble(SecondMetrics::possible).sum();
    RecoveryMetrics recovery =
        scenario.faults().isEmpty()
            ? null
            : RecoveryMetrics.of(
                all,
                scenario.faults().stream().mapToDouble(Scenario.Fault::atS).min().orElseThrow(),
                scenario.faults().stream().mapToDouble(Scenario.Fault::untilS).max().orElseThrow());
    return new RunResult(
        scenario.name(),
        scenario.seed(),
        ArrivalGenerator.digest(arrivals),
        arrivals.size(),
        worth == 0 ? 0 : good / worth,
        worth == 0 ? 0 : possible / worth,
        served,
        refused,
        arrivals.size() - served - refused,
        times.getValueAtPercentile(50) / MS,
        times.getValueAtPercentile(99) / MS,
        tries,
        attempts,
        fell,
        pressure,
        recovery,
        FaultSchedule.marks(scenario),
        all,
        InvariantChecker.check(scenario.rules(), history, end));
  }
}
