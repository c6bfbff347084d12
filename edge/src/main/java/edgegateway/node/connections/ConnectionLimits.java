package edgegateway.node.connections;

/**
 * What the configuration's {@code connections} object sets; a limit that it leaves out is 0 here
 * and comes from the {@link DescriptorBudget}.
 *
 * @param clients connections of clients
 * @param archiveServers connections to all archive servers together
 * @param perArchiveServer connections to one archive server
 * @param heldBytes bytes of bodies that are held whole, for all requests together
 * @param idle nanoseconds after which a client's connection between requests is closed
 */
public record ConnectionLimits(
    int clients, int archiveServers, int perArchiveServer, int heldBytes, long idle) {
  /** Nothing set. */
  public static final ConnectionLimits NONE = new ConnectionLimits(0, 0, 0, 0, 0);
}
