package edgegateway.testbed.fleet;

import edgegateway.node.zones.ZoneEjectionSettings;
import edgegateway.testbed.workload.CustomerPlan;
import edgegateway.testbed.workload.WorkloadClass;
import java.util.List;

/**
 * What edge nodes are told of what will be asked, and how they are to judge zones.
 *
 * @param keyLife for how long archive servers drop repeats of a key, in nanoseconds
 * @param zones how zones are judged; null if by operators alone
 */
public record WorkloadSettings(
    List<WorkloadClass> classes,
    List<CustomerPlan> plans,
    long keyLife,
    ZoneEjectionSettings zones) {
  /** Units that a plan's ceiling may be passed by: a tenth of what it holds, one at least. */
  public double slack(CustomerPlan plan) {
    return Math.max(1, 0.1 * plan.ceiling() * plan.burst());
  }
}
