package edgegateway.protocol;

import java.util.List;

/**
 * A message of discovery.
 *
 * @param revision the version of the list that it leads to
 * @param complete whether {@code entries} are the whole list; else they are its changed entries
 */
public record EndpointList(long revision, boolean complete, List<EndpointEntry> entries) {
  /** No list was ever had. */
  public static EndpointList empty() {
    return new EndpointList(0, true, List.of());
  }
}
