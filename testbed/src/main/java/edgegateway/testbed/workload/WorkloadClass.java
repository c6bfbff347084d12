package edgegateway.testbed.workload;

/**
 * A class of requests, as the settings name it.
 *
 * @param share its part of all requests, above 0; shares need not sum to 1
 * @param keyed whether its requests carry an idempotency key; others are safe to repeat
 * @param aim an answer after this span is worth nothing, in nanoseconds
 * @param deadline for how long a client waits at most, in nanoseconds
 * @param work mean work, in nanoseconds of a core
 * @param worth what an answer is worth, above 0
 */
public record WorkloadClass(
    String name, double share, boolean keyed, long aim, long deadline, double work, double worth) {
  /** Checks its ranges; the message names the figure. */
  public WorkloadClass {
    above(name, "share", share);
    above(name, "aim", aim);
    above(name, "deadline", deadline);
    above(name, "work", work);
    above(name, "worth", worth);
  }

  static void above(String name, String figure, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + ": " + figure + " is not above 0");
    }
  }
}
