package edgegateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings' tree as the path=value pairs that {@link edgegateway.protocol.PolicySettingsReader}
 * reads.
 */
public final class SettingsFlattener {
  private SettingsFlattener() {}

  /**
   * A list of objects has its length under {@code .count}, plain values are joined by commas, nulls
   * are left out.
   */
  public static Map<String, String> of(JsonNode settings) {
    Map<String, String> pairs = new HashMap<>();
    flatten("", settings, pairs);
    return pairs;
  }

  private static void flatten(String path, JsonNode node, Map<String, String> into) {
    if (node.isObject()) {
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        flatten(
            path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), into);
      }
    } else if (node.isArray()) {
      into.put(path + ".count", Integer.toString(node.size()));
      List<String> plain = new ArrayList<>();
      for (int i = 0; i < node.size(); i++) {
        if (node.get(i).isValueNode()) {
          plain.add(node.get(i).asText());
        } else {
          flatten(path + "." + i, node.get(i), into);
        }
      }
      into.put(path, String.join(",", plain));
    } else if (!node.isNull()) {
      into.put(path, node.asText());
    }
  }
}
