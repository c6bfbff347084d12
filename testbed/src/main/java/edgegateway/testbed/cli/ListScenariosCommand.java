package edgegateway.testbed.cli;

import edgegateway.testbed.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The scenarios of a folder. */
@Command(
    name = "list",
    mixinStandardHelpOptions = true,
    description = "Lists the scenarios of a folder, each checked.")
final class ListScenariosCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "DIR",
      defaultValue = "testbed/scenarios",
      description = "the folder (${DEFAULT-VALUE})")
  private Path folder;

  @Override
  public Integer call() {
    try (Stream<Path> files = Files.list(folder)) {
      int status = 0;
      for (Path file : files.filter(one -> one.toString().endsWith(".yaml")).sorted().toList()) {
        try {
          Scenario one = Scenario.read(file);
          System.out.printf(
              Locale.ROOT,
              "%-22s %2d nodes, %2d servers, %2.0f s: %s%n",
              one.name(),
              one.topology().nodes(),
              one.topology().servers(),
              one.spanS(),
              about(Files.readAllLines(file)));
        } catch (Scenario.InvalidScenarioException e) {
          System.err.println(file + ": " + e.getMessage());
          status = 2;
        }
      }
      return status;
    } catch (IOException e) {
      System.err.println(folder + " cannot be read: " + e.getMessage());
      return 2;
    }
  }

  /** The comment that a file begins with. */
  private static String about(List<String> lines) {
    return lines.isEmpty() || !lines.get(0).startsWith("#") ? "" : lines.get(0).substring(1).trim();
  }
}
