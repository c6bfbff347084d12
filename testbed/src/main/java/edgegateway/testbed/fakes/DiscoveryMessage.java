package edgegateway.testbed.fakes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;

/**
 * A message of discovery.
 *
 * @param revision the version of the list that it brings its reader to
 * @param complete whether it is the whole list; else only what changed
 */
public record DiscoveryMessage(long revision, boolean complete, List<DiscoveryMember> members) {
  /** As discovery writes it, on one line without its end. */
  public String json() {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.put("revision", revision).put("complete", complete);
    ArrayNode entries = object.putArray("members");
    for (DiscoveryMember one : members) {
      String phase = one.phase().name();
      entries
          .addObject()
          .put("id", one.id())
          .put("host_port", one.address())
          .put("locality", one.locality())
          .put("flavor", one.flavor())
          .put("cell", one.cell())
          .put("phase", phase.charAt(0) + phase.substring(1).toLowerCase(Locale.ROOT))
          .put("size", one.size())
          .put("up_since_ms", one.upSince());
    }
    return object.toString();
  }
}
