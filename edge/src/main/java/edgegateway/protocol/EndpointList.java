package edgegateway.protocol;

import java.util.List;

/**
 * The endpoint list, or its changes, as received from discovery.
 *
 * @param revision revision of the list after this message is applied
 * @param complete whether {@code entries} are the complete list; if not, they are the changed
 *     entries only
 */
public record EndpointList(long revision, boolean complete, List<EndpointEntry> entries) {
  /** The list of a node that has not received any: no entries and revision 0. */
  public static EndpointList empty() {
    return new EndpointList(0, true, List.of());
  }
}
