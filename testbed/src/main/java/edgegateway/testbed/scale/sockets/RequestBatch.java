package edgegateway.testbed.scale.sockets;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.workload.ArrivalGenerator;
import edgegateway.testbed.workload.ClientBehavior;
import edgegateway.testbed.workload.ClientRetryPolicy;
import edgegateway.testbed.workload.CustomerPlan;
import edgegateway.testbed.workload.HttpClients;
import edgegateway.testbed.workload.RequestArrival;
import edgegateway.testbed.workload.WorkloadClass;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Requests of the lab's clients to one group of doors, drawn ahead from a seed, and what became of
 * them.
 */
final class RequestBatch {
  private static final double SECOND = 1e9;
  private static final int OK = 200;
  private static final int DIGITS = 3;
  private static final long MOST = 60_000_000_000L;
  private static final long LINGER_S = 10;

  private final List<RequestArrival> arrivals;
  private final ConcurrentLinkedQueue<HistoryEvent> history = new ConcurrentLinkedQueue<>();
  private final int doors;
  private final List<WorkloadClass> classes;
  private final List<CustomerPlan> plans;
  private final long notice;
  private long begun;
  private CompletableFuture<Void> done = CompletableFuture.completedFuture(null);

  /**
   * What came of the requests asked in a span.
   *
   * @param beyond nanoseconds that a served one took beyond those that its archive server had it
   */
  record Outcome(long asked, long served, long refused, Histogram beyond) {}

  /**
   * Draws them; nothing is sent yet.
   *
   * @param prefix begins each id, so that no two groups share one
   * @param perDoor requests a second at each door
   */
  RequestBatch(
      String prefix, Scenario.Traffic load, int doors, double perDoor, double spanS, long seed) {
    this.doors = doors;
    classes = load.classes().stream().map(Scenario.Kind::requestClass).toList();
    double asked =
        load.plans().stream()
            .mapToDouble(plan -> plan.customers() * plan.rate() * plan.use())
            .sum();
    plans =
        load.plans().stream()
            .map(
                plan ->
                    new CustomerPlan(
                        plan.name(),
                        plan.customers() * doors,
                        plan.rate(),
                        plan.burst(),
                        plan.price(),
                        plan.ceiling(),
                        plan.use() * perDoor / asked,
                        plan.spread()))
            .toList();
    notice = (long) (load.noticeS() * SECOND);
    arrivals =
        doors == 0 || perDoor == 0
            ? List.of()
            : ArrivalGenerator.draw(
                    new ArrivalGenerator.Settings(
                        (long) (spanS * SECOND),
                        doors,
                        classes,
                        plans,
                        (long) (load.shiftS() * SECOND),
                        load.skew()),
                    seed)
                .stream()
                .map(
                    one ->
                        new RequestArrival(
                            one.at(),
                            prefix + one.id(),
                            one.customer(),
                            one.plan(),
                            one.requestClass(),
                            one.first(),
                            one.node(),
                            one.deadline(),
                            one.work()))
                .toList();
  }

  /** What is asked, with its work. */
  List<RequestArrival> arrivals() {
    return arrivals;
  }

  /** Sends all at their times from now on. */
  void play(EventLoop loop, IntFunction<InetSocketAddress> door) {
    begun = System.nanoTime();
    if (!arrivals.isEmpty()) {
      ClientBehavior asking =
          new ClientBehavior(
              IntStream.range(0, doors).mapToObj(i -> "n" + i).toList(),
              classes,
              plans,
              ClientRetryPolicy.NONE,
              notice);
      done = new HttpClients(loop, door, asking, history::add).sendAll(arrivals);
    }
  }

  /** Returns when each has ended; fails if one has not long after its time. */
  void await() throws IOException, InterruptedException {
    long last = arrivals.stream().mapToLong(one -> one.at() + one.deadline()).max().orElse(0);
    try {
      done.get(
          begun + last + TimeUnit.SECONDS.toNanos(LINGER_S) - System.nanoTime(),
          TimeUnit.NANOSECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("requests do not end", e);
    }
  }

  /** What came of those asked between two times of the machine's clock. */
  Outcome outcome(FakePlatform standIns, long from, long to) {
    Map<String, Long> askedAt = new HashMap<>();
    List<HistoryEvent.ResponseReceived> answers = new ArrayList<>();
    for (HistoryEvent event : history) {
      if (event instanceof HistoryEvent.RequestSent asked
          && asked.at() >= from
          && asked.at() < to) {
        askedAt.put(asked.id(), asked.at());
      } else if (event instanceof HistoryEvent.ResponseReceived answered) {
        answers.add(answered);
      }
    }
    long served = 0;
    long refused = 0;
    Histogram beyond = new Histogram(MOST, DIGITS);
    for (HistoryEvent.ResponseReceived answered : answers) {
      Long at = askedAt.get(answered.id());
      FakePlatform.Work work = standIns.work(answered.id());
      if (at != null && answered.status() == OK && work != null) {
        served++;
        beyond.recordValue(
            Math.max(0, Math.min(MOST, answered.at() - at - (work.ended() - work.arrived()))));
      } else if (at != null) {
        refused++;
      }
    }
    return new Outcome(askedAt.size(), served, refused, beyond);
  }
}
