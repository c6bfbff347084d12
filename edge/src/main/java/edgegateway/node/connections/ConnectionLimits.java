package edgegateway.node.connections;

/**
 * The limits in the configuration's {@code connections} object. A limit that is not configured is 0
 * here; {@link DescriptorBudget} then sets it.
 *
 * @param clients maximum client connections
 * @param upstreams maximum connections to all upstreams together
 * @param perUpstream maximum connections to one upstream
 * @param bufferedBytes maximum bytes of buffered bodies and read-ahead, over all requests
 * @param idleTimeoutNanos time after which an idle client connection is closed
 */
public record ConnectionLimits(
    int clients, int upstreams, int perUpstream, int bufferedBytes, long idleTimeoutNanos) {
  /** No limit is configured. */
  public static final ConnectionLimits NONE = new ConnectionLimits(0, 0, 0, 0, 0);
}
