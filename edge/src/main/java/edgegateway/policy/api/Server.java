package edgegateway.policy.api;

/** An entry of the server list; {@code startedAt} is 0 for a server that started long ago. */
public record Server(
    String id, double size, int zone, int cell, int kind, Readiness readiness, long startedAt) {}
