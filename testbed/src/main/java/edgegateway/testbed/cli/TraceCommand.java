package edgegateway.testbed.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import edgegateway.testbed.scenario.HistoryFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** What happened to one request, and what its nodes said meanwhile. */
@Command(
    name = "trace",
    mixinStandardHelpOptions = true,
    description = "Prints what happened to one request, with its nodes' log lines of that time.")
final class TraceCommand implements Callable<Integer> {
  private static final ObjectMapper JSON = new ObjectMapper();

  @Parameters(index = "0", paramLabel = "DIR", description = "the play's folder")
  private Path folder;

  @Parameters(index = "1", paramLabel = "ID", description = "the request, such as r17")
  private String id;

  /** A line of the trace. */
  private record Entry(double atS, String text) {}

  @Override
  public Integer call() {
    try (Stream<String> lines = Files.lines(folder.resolve(HistoryFile.NAME))) {
      List<JsonNode> events =
          lines
              .map(TraceCommand::parsed)
              .filter(event -> event.path("id").asText().equals(id))
              .toList();
      if (events.isEmpty()) {
        System.err.println(folder + ": no request " + id);
        return 2;
      }
      double from = events.get(0).get("atS").asDouble();
      double until = events.get(events.size() - 1).get("atS").asDouble();
      TreeSet<String> nodes =
          events.stream()
              .map(event -> event.path("node").asText())
              .filter(name -> !name.isEmpty())
              .collect(Collectors.toCollection(TreeSet::new));
      Stream<Entry> said = Stream.empty();
      for (String node : nodes) {
        said = Stream.concat(said, log(node, from, until));
      }
      Stream.concat(
              events.stream().map(event -> new Entry(event.get("atS").asDouble(), text(event))),
              said)
          .sorted(Comparator.comparingDouble(Entry::atS))
          .forEach(entry -> System.out.printf(Locale.ROOT, "%9.3f s  %s%n", entry.atS, entry.text));
      return 0;
    } catch (IOException e) {
      System.err.println(folder + ": cannot be read: " + e.getMessage());
      return 2;
    }
  }

  private static JsonNode parsed(String line) {
    try {
      return JSON.readTree(line);
    } catch (IOException e) {
      throw new IllegalStateException("not a line of a history: " + line, e);
    }
  }

  private static String text(JsonNode event) {
    return event.get("event").asText()
        + event.properties().stream()
            .filter(field -> !List.of("atS", "event", "id").contains(field.getKey()))
            .map(field -> " " + field.getKey() + "=" + field.getValue().asText())
            .collect(Collectors.joining());
  }

  private Stream<Entry> log(String node, double from, double until) throws IOException {
    Path log = folder.resolve(node).resolve("log");
    return !Files.exists(log)
        ? Stream.empty()
        : Files.readAllLines(log).stream()
            .map(line -> line.split(" ", 2))
            .filter(parts -> parts.length == 2)
            .map(parts -> new Entry(Double.parseDouble(parts[0]), node + ": " + parts[1]))
            .filter(entry -> entry.atS >= from && entry.atS <= until);
  }
}
