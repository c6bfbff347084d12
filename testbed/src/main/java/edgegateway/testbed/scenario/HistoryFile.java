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
import java.util.Map;

/**
 * A play's history on disk: a JSON object on each line, in the order of their times, {@code atS}
 * seconds from the first arrival.
 */
public final class HistoryFile {
  /** Its name in a play's folder. */
  public static final String NAME = "history.jsonl";

  private static final double SECOND = 1e9;
  private static final ObjectMapper JSON = new ObjectMapper();

  private static final Map<Class<? extends HistoryEvent>, String> STORED_NAMES =
      Map.ofEntries(
          Map.entry(HistoryEvent.RequestSent.class, "Asked"),
          Map.entry(HistoryEvent.ResponseReceived.class, "Answered"),
          Map.entry(HistoryEvent.ConnectionBroken.class, "Broken"),
          Map.entry(HistoryEvent.ClientDisconnected.class, "Left"),
          Map.entry(HistoryEvent.AttemptReceived.class, "Sent"),
          Map.entry(HistoryEvent.AttemptRejected.class, "TurnedAway"),
          Map.entry(HistoryEvent.DrainNotified.class, "Told"),
          Map.entry(HistoryEvent.ServerStarted.class, "Started"),
          Map.entry(HistoryEvent.ServerDied.class, "Died"),
          Map.entry(HistoryEvent.WarmUpPressure.class, "Pressed"),
          Map.entry(HistoryEvent.RestartNotified.class, "Learned"),
          Map.entry(HistoryEvent.ServerOverloaded.class, "Fell"),
          Map.entry(HistoryEvent.NodeCutOff.class, "Lost"),
          Map.entry(HistoryEvent.NodeCrashed.class, "Crashed"));

  private HistoryFile() {}

  /** Writes a history into a play's folder. */
  public static void write(Path folder, long begun, List<HistoryEvent> history) throws IOException {
    try (BufferedWriter out = Files.newBufferedWriter(folder.resolve(NAME))) {
      for (HistoryEvent event :
          history.stream().sorted(Comparator.comparingLong(HistoryEvent::at)).toList()) {
        ObjectNode line =
            JSON.createObjectNode()
                .put("atS", (event.at() - begun) / SECOND)
                .put("event", storedName(event));
        line.setAll((ObjectNode) JSON.valueToTree(event));
        line.remove("at");
        out.write(line + "\n");
      }
    }
  }

  /** Names on disk are older than those of the classes, and stay as they are. */
  private static String storedName(HistoryEvent event) {
    return STORED_NAMES.get(event.getClass());
  }
}
