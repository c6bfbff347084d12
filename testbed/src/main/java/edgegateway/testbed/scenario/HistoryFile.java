package edgegateway.testbed.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import edgegateway.testbed.checker.HistoryEvent;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;

/**
 * A play's history on disk: a JSON object on each line, in the order of their times, {@code atS}
 * seconds from the first arrival.
 */
public final class HistoryFile {
  /** Its name in a play's folder. */
  public static final String NAME = "history.jsonl";

  private static final double SECOND = 1e9;
  private static final ObjectMapper JSON = new ObjectMapper();

  private HistoryFile() {}

  /** Writes a history into a play's folder. */
  public static void write(Path folder, long begun, List<HistoryEvent> history) throws IOException {
    try (BufferedWriter out = Files.newBufferedWriter(folder.resolve(NAME))) {
      for (HistoryEvent event :
          history.stream().sorted(Comparator.comparingLong(HistoryEvent::at)).toList()) {
        ObjectNode line =
            JSON.createObjectNode()
                .put("atS", (event.at() - begun) / SECOND)
                .put("event", event.getClass().getSimpleName());
        line.setAll((ObjectNode) JSON.valueToTree(event));
        line.remove("at");
        out.write(line + "\n");
      }
    }
  }
}
