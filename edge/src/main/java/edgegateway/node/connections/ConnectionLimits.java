package edgegateway.node.connections;

/**
 * What the configuration's {@code connections} object sets. A limit that it leaves out is 0 here
 * and comes from the {@link DescriptorBudget}.
 *
 * @param clients connections of clients
 * @param upstreams connections to all archive servers together
 * @param perUpstream connections to one archive server
 * @param bufferedBytes bytes of bodies that are buffered whole, for all requests together
 * @param idleTimeoutNanos after which a client's connection between requests is closed
 */
public record ConnectionLimits(
    int clients, int upstreams, int perUpstream, int bufferedBytes, long idleTimeoutNanos) {
  /** Sets no limit. */
  public static final ConnectionLimits NONE = new ConnectionLimits(0, 0, 0, 0, 0);
}
