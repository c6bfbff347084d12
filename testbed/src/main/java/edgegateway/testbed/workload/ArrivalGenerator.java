package edgegateway.testbed.workload;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws all requests of a run, in order of arrival time. Each customer's requests are a Poisson
 * process, spread over the customer's edge nodes by uneven weights that change during the run. The
 * same seed gives the same requests.
 */
public final class ArrivalGenerator {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long CUSTOMER_ID_LIMIT = 1L << 33;

  /**
   * The workload to draw.
   *
   * @param durationNanos length of the run, in nanoseconds
   * @param nodes number of edge nodes
   * @param meanWeightChangeNanos mean time between changes of a customer's node weights, in
   *     nanoseconds, above 0
   * @param skew how uneven the node weights are: 0 is even; with 1 or more, one node gets most of
   *     the requests
   */
  public record Settings(
      long durationNanos,
      int nodes,
      List<WorkloadClass> classes,
      List<CustomerPlan> plans,
      long meanWeightChangeNanos,
      double skew) {}

  private final Settings settings;
  private final List<RequestArrival> arrivals = new ArrayList<>();

  /** The share of each request class. */
  private final double[] shares;

  private final double shareSum;

  private ArrivalGenerator(Settings settings) {
    this.settings = settings;
    shares = settings.classes.stream().mapToDouble(WorkloadClass::share).toArray();
    shareSum = settings.classes.stream().mapToDouble(WorkloadClass::share).sum();
  }

  /**
   * Draws all arrivals, sorted by time and then by customer. The id of an arrival is {@code r} and
   * its index in the list.
   */
  public static List<RequestArrival> draw(Settings settings, long seed) {
    ArrivalGenerator generator = new ArrivalGenerator(settings);
    SplittableRandom random = new SplittableRandom(seed);
    for (int plan = 0; plan < settings.plans.size(); plan++) {
      for (int i = 0; i < settings.plans.get(plan).customers(); i++) {
        // A separate random source per customer: how many values one customer draws doesn't change
        // the requests of the others, nor does a customer added to the last plan.
        generator.drawCustomer(plan, random.split());
      }
    }
    generator.arrivals.sort(
        (a, b) ->
            a.at() != b.at()
                ? Long.compare(a.at(), b.at())
                : Long.compare(a.customer(), b.customer()));
    for (int i = 0; i < generator.arrivals.size(); i++) {
      RequestArrival withoutId = generator.arrivals.get(i);
      generator.arrivals.set(
          i,
          new RequestArrival(
              withoutId.at(),
              "r" + i,
              withoutId.customer(),
              withoutId.plan(),
              withoutId.requestClass(),
              withoutId.first(),
              withoutId.node(),
              withoutId.deadline(),
              withoutId.work()));
    }
    return List.copyOf(generator.arrivals);
  }

  /**
   * Returns the arrival that an attempt belongs to.
   *
   * @param arrivals the complete list that {@link #draw} returned
   * @param attemptId an id as from {@link ClientRetryPolicy#attemptId}
   */
  public static RequestArrival findByAttemptId(List<RequestArrival> arrivals, String attemptId) {
    return arrivals.get(Integer.parseInt(ClientRetryPolicy.requestId(attemptId).substring(1)));
  }

  private void drawCustomer(int planIndex, SplittableRandom random) {
    CustomerPlan plan = settings.plans.get(planIndex);
    long customer = random.nextLong(CUSTOMER_ID_LIMIT);
    int first = random.nextInt(settings.nodes);
    int spread = Math.min(plan.spread(), settings.nodes);
    double requestsPerSecond = plan.rate() * plan.use();
    double[] weights = drawWeights(spread, random);
    long weightChangeAt = drawExponential(settings.meanWeightChangeNanos, random);
    for (long at = drawExponential(NANOS_PER_SECOND / requestsPerSecond, random);
        requestsPerSecond > 0 && at < settings.durationNanos;
        at += drawExponential(NANOS_PER_SECOND / requestsPerSecond, random)) {
      while (weightChangeAt <= at) {
        weights = drawWeights(spread, random);
        weightChangeAt += drawExponential(settings.meanWeightChangeNanos, random);
      }
      int classIndex = drawIndex(shares, shareSum, random);
      WorkloadClass requestClass = settings.classes.get(classIndex);
      arrivals.add(
          new RequestArrival(
              at,
              "",
              customer,
              planIndex,
              classIndex,
              first,
              (first + drawIndex(weights, 1, random)) % settings.nodes,
              (long) (requestClass.deadlineNanos() * (0.5 + random.nextDouble() / 2)),
              drawExponential(requestClass.meanWorkNanos(), random)));
    }
  }

  /**
   * Returns weights that sum to 1, in random order. Before scaling, the weight of rank k, from 0,
   * is 1 / (1 + k)^skew.
   */
  private double[] drawWeights(int count, SplittableRandom random) {
    double[] weights = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      weights[i] = StrictMath.pow(1 + i, -settings.skew);
      sum += weights[i];
    }
    for (int i = count - 1; i >= 0; i--) {
      int j = random.nextInt(i + 1);
      double swapped = weights[j];
      weights[j] = weights[i];
      weights[i] = swapped / sum;
    }
    return weights;
  }

  /** Draws an index with a probability proportional to its weight. */
  private static int drawIndex(double[] weights, double sum, SplittableRandom random) {
    double remaining = random.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && remaining >= weights[index]) {
      remaining -= weights[index++];
    }
    return index;
  }

  private static long drawExponential(double mean, SplittableRandom random) {
    return 1 + (long) (-mean * StrictMath.log(1 - random.nextDouble()));
  }

  /**
   * Returns a fingerprint of the arrivals, their SHA-256 in hex: the same for equal arrivals, and
   * for all practical purposes different for others.
   */
  public static String digest(List<RequestArrival> arrivals) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      arrivals.forEach(
          arrival -> digest.update(digestForm(arrival).getBytes(StandardCharsets.UTF_8)));
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing, which every JDK must provide", e);
    }
  }

  /** Returns the record's text under its former type name, Arrival, as in recorded digests. */
  private static String digestForm(RequestArrival arrival) {
    return arrival.toString().replaceFirst("^RequestArrival", "Arrival");
  }
}
