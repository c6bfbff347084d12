package edgegateway.testbed.scenario;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * How long after its last fault was mended a fleet did as well as before its first one; seconds,
 * and -1 for not by the end of the play. Goodput counts by whole seconds of arrivals, and has come
 * back when two on end have it.
 *
 * @param before goodput before the first fault, its first second left out
 * @param possible how soon 0.9 of that could have been served by the archive servers that ran;
 *     seconds
 * @param whileOf the worth served from the first fault to the last mend, over what could have been
 *     served
 * @param afterOf the same from the last mend to the end
 */
public record RecoveryMetrics(
    double before,
    int toHalf,
    int toNineTenths,
    int toAll,
    int possible,
    double whileOf,
    double afterOf) {
  private static final double HALF = 0.5;
  private static final double MOST = 0.9;
  private static final double ALL = 0.99;

  /**
   * Of a play whose faults begin and end at these seconds; null if it had none, or no second before
   * them.
   */
  static RecoveryMetrics of(List<SecondMetrics> seconds, double faultsFrom, double faultsUntil) {
    int from = (int) faultsFrom;
    int until = (int) Math.ceil(faultsUntil);
    if (from < 2 || until >= seconds.size()) {
      return null;
    }
    double before = goodput(seconds.subList(1, from));
    ToDoubleFunction<SecondMetrics> good = SecondMetrics::good;
    ToDoubleFunction<SecondMetrics> possible = SecondMetrics::possible;
    return new RecoveryMetrics(
        before,
        after(seconds, until, HALF * before, good),
        after(seconds, until, MOST * before, good),
        after(seconds, until, ALL * before, good),
        after(seconds, until, MOST * before, possible),
        part(seconds.subList(from, until)),
        part(seconds.subList(until, seconds.size())));
  }

  private static double part(List<SecondMetrics> seconds) {
    double possible = seconds.stream().mapToDouble(SecondMetrics::possible).sum();
    return possible == 0 ? 1 : seconds.stream().mapToDouble(SecondMetrics::good).sum() / possible;
  }

  private static int after(
      List<SecondMetrics> seconds, int until, double least, ToDoubleFunction<SecondMetrics> what) {
    for (int i = until; i + 1 < seconds.size(); i++) {
      if (share(seconds.get(i), what) >= least && share(seconds.get(i + 1), what) >= least) {
        return i - until;
      }
    }
    return -1;
  }

  private static double share(SecondMetrics of, ToDoubleFunction<SecondMetrics> what) {
    return of.worth() == 0 ? 1 : what.applyAsDouble(of) / of.worth();
  }

  private static double goodput(List<SecondMetrics> seconds) {
    double worth = seconds.stream().mapToDouble(SecondMetrics::worth).sum();
    return worth == 0 ? 1 : seconds.stream().mapToDouble(SecondMetrics::good).sum() / worth;
  }
}
