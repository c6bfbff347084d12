package edgegateway.testbed.scale;

import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.YamlFile;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the capacity tables have a line for, and from which figures each follows.
 *
 * @param path sizes on the way to the target, which is the last; each by the keys {@code nodes},
 *     {@code servers}, {@code tenants} and so on
 */
public record CapacityFile(List<Map<String, Double>> path, List<Line> lines) {
  /**
   * A line: slope x size, beside its budget.
   *
   * @param role whose budget it is
   * @param when in calm, at a rollout and so on
   * @param unit of the figure and its budget
   * @param side from whose points; null for an assumed one
   * @param figure the points' figure that is its slope; several are added up, with {@code +}
   *     between them
   * @param by the key of the points' sizes over which the slope is interpolated
   * @param where only points whose size has these values
   * @param assumed the slope, where none was measured
   * @param times the keys of the size that the slope is multiplied with; may be left out
   * @param factor and this; 1 if left out
   * @param budget null for none
   * @param source where the budget, the factor or the assumed slope is from; may be left out
   * @param mechanism what carries it: a class or a page, or {@code missing}
   * @param client what clients see beyond the budget; may be left out
   */
  public record Line(
      String role,
      String when,
      String quantity,
      String unit,
      MeasuredPoint.Side side,
      String figure,
      String by,
      Map<String, Double> where,
      Double assumed,
      List<String> times,
      Double factor,
      Double budget,
      String source,
      String mechanism,
      String client) {
    /** Checks that a slope has one origin; the message names the key. */
    public Line {
      if (role == null || when == null || quantity == null || unit == null || mechanism == null) {
        throw new IllegalArgumentException("role, when, quantity, unit or mechanism is missing");
      }
      if (assumed == null == (figure == null)
          || (figure == null) != (side == null)
          || (figure == null) != (by == null)) {
        throw new IllegalArgumentException(
            "either assumed, or side, figure and by are wanted for " + quantity);
      }
      where = where == null ? Map.of() : where;
      times = times == null ? List.of() : times;
      factor = factor == null ? 1 : factor;
    }
  }

  /** Checks that the keys fit; the message names them. */
  public CapacityFile {
    if (path.size() < 2) {
      throw new IllegalArgumentException("path has fewer than two sizes");
    }
    Set<String> keys = path.get(0).keySet();
    for (Map<String, Double> size : path) {
      if (!size.keySet().equals(keys) || size.values().stream().anyMatch(value -> !(value > 0))) {
        throw new IllegalArgumentException("path has sizes of different keys, or not above 0");
      }
    }
    for (Line line : lines) {
      if (!keys.containsAll(line.times) || line.by != null && !keys.contains(line.by)) {
        throw new IllegalArgumentException(
            "by or times of " + line.quantity + " is not a key of path");
      }
    }
  }

  /** The program's own. */
  public static CapacityFile own() throws IOException {
    try (InputStream in = CapacityFile.class.getResourceAsStream("capacity.yaml")) {
      return parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (Scenario.InvalidScenarioException e) {
      throw new IOException("capacity.yaml: " + e.getMessage(), e);
    }
  }

  static CapacityFile parse(String text) throws Scenario.InvalidScenarioException {
    return YamlFile.parse(text, CapacityFile.class);
  }

  /** The last size of the path. */
  public Map<String, Double> target() {
    return path.get(path.size() - 1);
  }
}
