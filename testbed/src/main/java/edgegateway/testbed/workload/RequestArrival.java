package edgegateway.testbed.workload;

/**
 * A request that a client will send.
 *
 * @param at when, in nanoseconds from the start
 * @param id unique in a play
 * @param customer a number below 2^33
 * @param plan its plan's index
 * @param requestClass its class's index
 * @param first the first edge node of its customer's set, by number
 * @param node the edge node that the front picks while all are up, by number
 * @param deadline how long the client waits, in nanoseconds
 * @param work what it needs, in nanoseconds of a core
 */
public record RequestArrival(
    long at,
    String id,
    long customer,
    int plan,
    int requestClass,
    int first,
    int node,
    long deadline,
    long work) {}
