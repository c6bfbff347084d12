package edgegateway.policy.quota;

import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.time.EventClock;
import java.util.SplittableRandom;

/**
 * The state and collaborators that the quotas of all customers share.
 *
 * @param settings the settings of the node
 * @param clock the time of the present event
 * @param random the policy's only source of randomness
 * @param availability whether the counter is reachable
 * @param budget the budget of calls to the counter
 * @param calls the calls that have not ended
 * @param unreported the quotas with usage to report
 * @param callPriority the priority of calls before admission
 */
record QuotaContext(
    PolicySettings settings,
    EventClock clock,
    SplittableRandom random,
    CounterAvailability availability,
    CounterCallBudget budget,
    CounterCalls calls,
    UnreportedUsage unreported,
    CallPriority callPriority) {}
