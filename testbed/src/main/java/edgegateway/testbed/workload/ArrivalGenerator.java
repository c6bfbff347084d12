package edgegateway.testbed.workload;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All requests of a play, in the order of their times: Poisson arrivals of each customer, unevenly
 * spread over its edge nodes, with weights that change. The same seed draws the same ones.
 */
public final class ArrivalGenerator {
  private static final double SECOND = 1e9;
  private static final long CUSTOMERS = 1L << 33;

  /**
   * What is drawn.
   *
   * @param span for how long, in nanoseconds
   * @param nodes how many edge nodes there are
   * @param shift the mean span between changes of a customer's weights, in nanoseconds, above 0
   * @param skew how uneven the weights are: 0 even, 1 and more with most on one node
   */
  public record Settings(
      long span,
      int nodes,
      List<WorkloadClass> classes,
      List<CustomerPlan> plans,
      long shift,
      double skew) {}

  private final Settings terms;
  private final List<RequestArrival> drawn = new ArrayList<>();

  /** The classes' shares, and their sum. */
  private final double[] shares;

  private final double whole;

  private ArrivalGenerator(Settings terms) {
    this.terms = terms;
    shares = terms.classes.stream().mapToDouble(WorkloadClass::share).toArray();
    whole = terms.classes.stream().mapToDouble(WorkloadClass::share).sum();
  }

  /** Draws all; the ids begin with {@code r}. */
  public static List<RequestArrival> draw(Settings terms, long seed) {
    ArrivalGenerator all = new ArrivalGenerator(terms);
    SplittableRandom chance = new SplittableRandom(seed);
    for (int plan = 0; plan < terms.plans.size(); plan++) {
      for (int i = 0; i < terms.plans.get(plan).customers(); i++) {
        // Each has a source of its own: one more customer changes nobody else's requests.
        all.customer(plan, chance.split());
      }
    }
    all.drawn.sort(
        (a, b) ->
            a.at() != b.at()
                ? Long.compare(a.at(), b.at())
                : Long.compare(a.customer(), b.customer()));
    for (int i = 0; i < all.drawn.size(); i++) {
      RequestArrival one = all.drawn.get(i);
      all.drawn.set(
          i,
          new RequestArrival(
              one.at(),
              "r" + i,
              one.customer(),
              one.plan(),
              one.requestClass(),
              one.first(),
              one.node(),
              one.deadline(),
              one.work()));
    }
    return List.copyOf(all.drawn);
  }

  /** The request, of those that {@link #draw} drew, that a try's id belongs to. */
  public static RequestArrival of(List<RequestArrival> drawn, String id) {
    return drawn.get(Integer.parseInt(ClientRetryPolicy.request(id).substring(1)));
  }

  private void customer(int plan, SplittableRandom chance) {
    CustomerPlan of = terms.plans.get(plan);
    long customer = chance.nextLong(CUSTOMERS);
    int first = chance.nextInt(terms.nodes);
    int spread = Math.min(of.spread(), terms.nodes);
    double rate = of.rate() * of.use();
    double[] weights = weights(spread, chance);
    long shiftAt = exponential(terms.shift, chance);
    for (long at = exponential(SECOND / rate, chance);
        rate > 0 && at < terms.span;
        at += exponential(SECOND / rate, chance)) {
      while (shiftAt <= at) {
        weights = weights(spread, chance);
        shiftAt += exponential(terms.shift, chance);
      }
      int kind = pick(shares, whole, chance);
      WorkloadClass as = terms.classes.get(kind);
      drawn.add(
          new RequestArrival(
              at,
              "",
              customer,
              plan,
              kind,
              first,
              (first + pick(weights, 1, chance)) % terms.nodes,
              (long) (as.deadline() * (0.5 + chance.nextDouble() / 2)),
              exponential(as.work(), chance)));
    }
  }

  /** Weights that sum to 1: the k-th of a random order has 1 / (1 + k)^skew before. */
  private double[] weights(int spread, SplittableRandom chance) {
    double[] weights = new double[spread];
    double sum = 0;
    for (int i = 0; i < spread; i++) {
      weights[i] = StrictMath.pow(1 + i, -terms.skew);
      sum += weights[i];
    }
    for (int i = spread - 1; i >= 0; i--) {
      int j = chance.nextInt(i + 1);
      double other = weights[j];
      weights[j] = weights[i];
      weights[i] = other / sum;
    }
    return weights;
  }

  private static int pick(double[] weights, double sum, SplittableRandom chance) {
    double left = chance.nextDouble() * sum;
    int at = 0;
    while (at < weights.length - 1 && left >= weights[at]) {
      left -= weights[at++];
    }
    return at;
  }

  private static long exponential(double mean, SplittableRandom chance) {
    return 1 + (long) (-mean * StrictMath.log(1 - chance.nextDouble()));
  }

  /**
   * A fingerprint of what was drawn: equal if and only if the arrivals are, for all practical
   * purposes.
   */
  public static String digest(List<RequestArrival> arrivals) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      arrivals.forEach(
          arrival -> digest.update(digestForm(arrival).getBytes(StandardCharsets.UTF_8)));
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** The type was once called Arrival, and digests on record hold that name. */
  private static String digestForm(RequestArrival arrival) {
    return arrival.toString().replaceFirst("^RequestArrival", "Arrival");
  }
}
