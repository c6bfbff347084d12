package edgegateway.testbed.cli;

import edgegateway.testbed.checker.Violation;
import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.simulation.FleetSimulation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays of the model. */
@Command(
    name = "model",
    mixinStandardHelpOptions = true,
    description =
        "Plays one scenario on the model's clock by several seeds, this checkout's program; medians, least and most.")
final class SimulateCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "the scenario")
  private Path file;

  @Option(
      names = "--seeds",
      paramLabel = "A..B",
      defaultValue = "1..10",
      description = "the seeds (${DEFAULT-VALUE})")
  private SeedRange seeds;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      defaultValue = "1",
      description = "plays side by side (${DEFAULT-VALUE})")
  private int jobs;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "where each seed's index.html and result.json go; nowhere if left out")
  private Path out;

  @Option(names = "--log", description = "print the nodes' own lines")
  private boolean log;

  @Override
  public Integer call() throws InterruptedException {
    ExecutorService workers = Executors.newFixedThreadPool(jobs);
    try {
      Scenario scenario = Scenario.read(file);
      List<Future<RunResult>> plays = new ArrayList<>();
      seeds
          .all()
          .forEach(
              seed ->
                  plays.add(
                      workers.submit(
                          () ->
                              FleetSimulation.run(
                                  scenario.withSeed(seed),
                                  log ? System.out::println : line -> {}))));
      RunSummary summary = new RunSummary();
      for (Future<RunResult> play : plays) {
        RunResult result = play.get();
        summary.add(scenario.name(), result);
        if (out != null) {
          RunCommand.write(
              result, Files.createDirectories(out.resolve(scenario.name() + "-" + result.seed())));
        }
      }
      summary.print(System.out);
      for (RunResult result : summary.broken()) {
        Violation first = result.findings().get(0);
        System.out.println(
            "RULE BROKEN by seed "
                + result.seed()
                + ", "
                + result.findings().size()
                + " times, first "
                + first.rule()
                + ": "
                + first.id()
                + " "
                + first.node()
                + " "
                + first.text());
      }
      boolean enough = RunCommand.enough(summary.leastGoodput(), scenario);
      return summary.broken().isEmpty() && enough ? 0 : 1;
    } catch (Scenario.InvalidScenarioException | IOException e) {
      System.err.println(file + ": " + e.getMessage());
      return 2;
    } catch (ExecutionException e) {
      System.err.println(file + ": the model failed: " + e.getCause());
      return 2;
    } finally {
      workers.shutdownNow();
    }
  }
}
