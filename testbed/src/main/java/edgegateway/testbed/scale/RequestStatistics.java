package edgegateway.testbed.scale;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.scenario.Scenario;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Adds up what is seen at the edges of a fleet while it happens, and forgets each try when it is
 * over: memory follows what is under way, not how long it goes on. Only tries asked from {@code
 * from} to {@code until} count; the quotas see all.
 */
final class RequestStatistics implements Consumer<HistoryEvent> {
  private static final long SECOND = 1_000_000_000L;
  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  private static final class ClientAttempt {
    final HistoryEvent.RequestSent asked;
    boolean sent;

    ClientAttempt(HistoryEvent.RequestSent asked) {
      this.asked = asked;
    }
  }

  private final QuotaTracker quotas;
  private final long from;
  private final long until;
  private final Map<String, ClientAttempt> open = new HashMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final int servers;
  private long tries;
  private long served;
  private long inAim;
  private long refused;
  private long within;
  private long refusedWithRoom;
  private long sent;
  private long beyond;
  private long left;
  private final long[] aims;

  /** By seconds: tries asked, and of these those served in their aim. */
  private final long[] asked;

  private final long[] good;

  private int fell;
  private double pressure;

  /** The plans whose customers ask no more than their quota. */
  private final boolean[] modest;

  /** Times are those of the events. */
  RequestStatistics(Scenario scenario, long from, long until) {
    this.from = from;
    this.until = until;
    asked = new long[(int) Math.ceil((until - from) / SECOND)];
    good = new long[asked.length];
    quotas = new QuotaTracker(scenario.plans());
    servers = scenario.topology().servers();
    modest = new boolean[scenario.plans().size()];
    for (int i = 0; i < modest.length; i++) {
      modest[i] = scenario.plans().get(i).use() <= 1;
    }
    aims = scenario.classes().stream().mapToLong(kind -> kind.latencyObjectiveNanos()).toArray();
  }

  @Override
  public void accept(HistoryEvent event) {
    if (event instanceof HistoryEvent.RequestSent one) {
      open.put(one.id(), new ClientAttempt(one));
      if (counts(one)) {
        tries++;
        within += modest[one.plan()] ? 1 : 0;
        asked[second(one)]++;
      }
    } else if (event instanceof HistoryEvent.AttemptReceived one) {
      sent(one);
    } else if (event instanceof HistoryEvent.ResponseReceived answered) {
      ClientAttempt of = open.remove(answered.id());
      if (of != null) {
        answered(of.asked, answered);
      }
    } else if (event instanceof HistoryEvent.ClientDisconnected one) {
      over(one.id());
    } else if (event instanceof HistoryEvent.ConnectionBroken one) {
      over(one.id());
    } else if (event instanceof HistoryEvent.ServerOverloaded) {
      fell++;
    } else if (event instanceof HistoryEvent.WarmUpPressure one) {
      pressure = Math.max(pressure, one.share());
    }
  }

  private int second(HistoryEvent.RequestSent of) {
    return (int) ((of.at() - from) / SECOND);
  }

  private boolean counts(HistoryEvent.RequestSent asked) {
    return asked.at() >= from && asked.at() < until;
  }

  private void over(String id) {
    ClientAttempt of = open.remove(id);
    left += of != null && counts(of.asked) ? 1 : 0;
  }

  private void sent(HistoryEvent.AttemptReceived one) {
    if (one.at() >= from && one.at() < until) {
      attempts.merge(one.server(), 1, Integer::sum);
    }
    ClientAttempt of = open.get(one.id());
    if (of != null && !of.sent) {
      of.sent = true;
      boolean inside = quotas.sent(one.at(), of.asked.customer(), of.asked.plan());
      sent += counts(of.asked) ? 1 : 0;
      beyond += counts(of.asked) && !inside ? 1 : 0;
    }
  }

  private void answered(HistoryEvent.RequestSent of, HistoryEvent.ResponseReceived answered) {
    if (!counts(of)) {
      return;
    }
    if (answered.status() == OK) {
      served++;
      boolean timely = answered.at() - of.at() <= aims[of.requestClass()];
      inAim += timely ? 1 : 0;
      good[second(of)] += timely ? 1 : 0;
    } else if (answered.status() == TOO_MANY || answered.status() == UNAVAILABLE) {
      refused++;
      refusedWithRoom +=
          modest[of.plan()] && quotas.room(answered.at(), of.customer(), of.plan()) ? 1 : 0;
    } else {
      left++;
    }
  }

  /**
   * Writes its figures; shares are of the tries asked, but those refused with room are of the tries
   * of customers who ask no more than their quota, and those beyond the quota of all that were sent
   * on.
   */
  void figures(Map<String, Double> to) {
    to.put("tries-per-s", tries / ((until - from) / (double) SECOND));
    to.put("served-share", share(served, tries));
    to.put("served-in-aim-share", share(inAim, tries));
    to.put("refused-share", share(refused, tries));
    to.put("refused-with-room-share", share(refusedWithRoom, within));
    to.put(
        "served-in-aim-worst-s-share",
        IntStream.range(0, asked.length)
            .mapToDouble(i -> share(good[i], asked[i]))
            .min()
            .orElse(0));
    to.put("servers-fallen", (double) fell);
    to.put("cold-pressure", pressure);
    to.put("failed-share", share(left, tries));
    to.put("beyond-quota-share", share(beyond, sent));
    int[] sorted = attempts.values().stream().mapToInt(one -> one).sorted().toArray();
    double mean = Arrays.stream(sorted).sum() / (double) servers;
    to.put("attempts-most-over-mean", sorted.length == 0 ? 0 : sorted[sorted.length - 1] / mean);
    to.put("attempts-per-server-s", mean / ((until - from) / (double) SECOND));
    to.put("servers-reached-share", share(sorted.length, servers));
  }

  private static double share(long of, long all) {
    return all == 0 ? 0 : of / (double) all;
  }
}
