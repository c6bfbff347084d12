package edgegateway.testbed.cli;

import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.ScenarioRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Several programs on real processes, by turns. */
@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description =
        "Plays one scenario by several programs in turn, each turn by another seed; medians, least and most.")
final class CompareCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the scenario")
  private Path file;

  @Option(
      names = "--roots",
      paramLabel = "DIR",
      split = ",",
      required = true,
      description = "checkouts whose programs are built")
  private List<Path> roots;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "5",
      description = "plays of each (${DEFAULT-VALUE})")
  private int runs;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      defaultValue = "target/testbed/compare",
      description = "where the results go (${DEFAULT-VALUE})")
  private Path out;

  @Override
  public Integer call() throws InterruptedException {
    try {
      Scenario scenario = Scenario.read(file);
      RunSummary summary = new RunSummary();
      for (int run = 0; run < runs; run++) {
        for (Path root : roots) {
          Scenario one = scenario.withSeed(scenario.seed() + run);
          Path folder =
              Files.createDirectories(
                      out.resolve(root.toRealPath().getFileName() + "-" + one.seed()))
                  .toRealPath();
          RunResult result =
              ScenarioRun.of(one, DeployFile.read(root.toRealPath()), folder, line -> {});
          RunCommand.write(result, folder);
          summary.add(root.toString(), result);
          System.out.printf(
              Locale.ROOT,
              "%s seed %d: goodput %.3f, %d rules broken%n",
              root,
              one.seed(),
              result.goodput(),
              result.findings().size());
        }
      }
      summary.print(System.out);
      return summary.broken().isEmpty() ? 0 : 1;
    } catch (Scenario.InvalidScenarioException | IOException e) {
      System.err.println(file + ": " + e.getMessage());
      return 2;
    }
  }
}
