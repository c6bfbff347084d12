package edgegateway.policy.api;

/** An entry of the server list; {@code startedAt} is 0 for a server that started long ago. */
public record Endpoint(
    String id,
    double weight,
    int zone,
    int cell,
    int machineType,
    EndpointState state,
    long startedAtNanos) {}
