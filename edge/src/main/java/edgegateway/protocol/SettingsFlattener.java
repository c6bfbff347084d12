package edgegateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts the settings from a JSON tree to the paths that {@link PolicySettingsReader} reads. */
public final class SettingsFlattener {
  private SettingsFlattener() {}

  /**
   * Returns the value of each setting by its path, whose parts are separated by dots. An array has
   * its length under {@code <path>.count}; its objects are below {@code <path>.<index>}, and its
   * plain values are joined by commas under {@code <path>}. Fields that are null are omitted.
   */
  public static Map<String, String> flatten(JsonNode settings) {
    Map<String, String> valuesByPath = new HashMap<>();
    addValues("", settings, valuesByPath);
    return valuesByPath;
  }

  private static void addValues(String path, JsonNode node, Map<String, String> valuesByPath) {
    if (node.isObject()) {
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        addValues(
            path.isEmpty() ? field.getKey() : path + "." + field.getKey(),
            field.getValue(),
            valuesByPath);
      }
    } else if (node.isArray()) {
      valuesByPath.put(path + ".count", Integer.toString(node.size()));
      List<String> plainValues = new ArrayList<>();
      for (int i = 0; i < node.size(); i++) {
        if (node.get(i).isValueNode()) {
          plainValues.add(node.get(i).asText());
        } else {
          addValues(path + "." + i, node.get(i), valuesByPath);
        }
      }
      valuesByPath.put(path, String.join(",", plainValues));
    } else if (!node.isNull()) {
      valuesByPath.put(path, node.asText());
    }
  }
}
