package edgegateway.testbed.workload;

/**
 * A quota plan and the demand of the customers who have it. Error messages name the settings of the
 * scenario file.
 *
 * @param name the plan's name in the edge nodes' settings
 * @param customers number of customers with this plan
 * @param rate requests per second in each customer's quota, above 0
 * @param burst capacity of each customer's token bucket, in units, above 0
 * @param price factor on the priority weight of the plan's requests, above 0
 * @param ceiling factor on rate and burst that gives the hard ceiling; 0 for no ceiling
 * @param use each customer's mean request rate as a fraction of {@code rate}; above 1 is over quota
 * @param spread number of consecutive edge nodes that a customer's requests come through, 1 or more
 */
public record CustomerPlan(
    String name,
    int customers,
    double rate,
    double burst,
    double price,
    double ceiling,
    double use,
    int spread) {
  /** Validates the ranges; an error message names the setting. */
  public CustomerPlan {
    WorkloadClass.requirePositive(name, "rate", rate);
    WorkloadClass.requirePositive(name, "burst", burst);
    WorkloadClass.requirePositive(name, "price", price);
    if (customers < 0 || !(ceiling >= 0) || !(use >= 0) || spread < 1) {
      throw new IllegalArgumentException(
          name
              + ": "
              + (customers < 0
                  ? "customers"
                  : !(ceiling >= 0) ? "ceiling" : !(use >= 0) ? "use" : "spread")
              + " is out of its range");
    }
  }
}
