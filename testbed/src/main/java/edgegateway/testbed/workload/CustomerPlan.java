package edgegateway.testbed.workload;

/**
 * A plan, as the settings name it, and the customers who have it.
 *
 * @param customers how many
 * @param rate requests a second that each is allowed, above 0
 * @param burst units that its store holds, above 0
 * @param price its worth factor, above 0
 * @param ceiling how many times rate and burst make its hard ceiling; 0 for none
 * @param use which part of that each asks for on average; above 1 is beyond the quota
 * @param spread through how many edge nodes in a row each comes, 1 or more
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
  /** Checks its ranges; the message names the figure. */
  public CustomerPlan {
    WorkloadClass.above(name, "rate", rate);
    WorkloadClass.above(name, "burst", burst);
    WorkloadClass.above(name, "price", price);
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
