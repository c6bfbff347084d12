package edgegateway.testbed.workload;

/**
 * A request that a client will send. {@link ArrivalGenerator#digest} hashes the text of this
 * record, so the names and the order of its components are part of every recorded digest.
 *
 * @param at arrival time, in nanoseconds from the start of the run
 * @param id unique in a run
 * @param customer the customer's id, below 2^33
 * @param plan index of the customer's plan
 * @param requestClass index of the request class
 * @param first index of the first edge node of the customer's set
 * @param node index of the edge node that the front load balancer picks while all nodes are up
 * @param deadline how long the client waits, in nanoseconds
 * @param work service time on one core, in nanoseconds
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
