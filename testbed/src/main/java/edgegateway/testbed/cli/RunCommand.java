package edgegateway.testbed.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import edgegateway.testbed.checker.Violation;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.report.ResultPage;
import edgegateway.testbed.scenario.RunResult;
import edgegateway.testbed.scenario.Scenario;
import edgegateway.testbed.scenario.ScenarioRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** One play on real processes. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = "Plays one scenario on real processes and judges it.")
final class RunCommand implements Callable<Integer> {
  static final String RESULT = "result.json";
  static final String PAGE = "index.html";

  @Parameters(paramLabel = "FILE", description = "the scenario")
  private Path file;

  @Option(names = "--seed", paramLabel = "N", description = "in place of the scenario's")
  private Long seed;

  @Option(
      names = "--root",
      paramLabel = "DIR",
      defaultValue = ".",
      description = "a checkout whose program is built; its deploy file says how it is begun")
  private Path root;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description =
          "where index.html, result.json, history.jsonl and the nodes' folders go; target/testbed/NAME-SEED if left out")
  private Path out;

  @Override
  public Integer call() throws InterruptedException {
    try {
      Scenario scenario = Scenario.read(file);
      if (seed != null) {
        scenario = scenario.withSeed(seed);
      }
      Path folder =
          Files.createDirectories(
                  out != null
                      ? out
                      : Path.of("target", "testbed", scenario.name() + "-" + scenario.seed()))
              .toRealPath();
      RunResult result =
          ScenarioRun.of(scenario, DeployFile.read(root.toRealPath()), folder, System.out::println);
      write(result, folder);
      System.out.printf(
          Locale.ROOT,
          "%s seed %d: goodput %.3f, %d asked, %d served, %d refused, %d failed, p50 %.0f ms, p99 %.0f ms, "
              + "%d attempts%n",
          result.scenario(),
          result.seed(),
          result.goodput(),
          result.asked(),
          result.served(),
          result.refused(),
          result.failed(),
          result.p50Ms(),
          result.p99Ms(),
          result.attempts());
      for (Violation finding : result.findings()) {
        System.out.println(
            "RULE BROKEN "
                + finding.rule()
                + ": "
                + finding.id()
                + " "
                + finding.node()
                + " "
                + finding.text());
      }
      boolean enough = enough(result.goodput(), scenario);
      System.out.println(folder.resolve(PAGE));
      return result.findings().isEmpty() && enough ? 0 : 1;
    } catch (Scenario.InvalidScenarioException | IOException e) {
      System.err.println(file + ": " + e.getMessage());
      return 2;
    }
  }

  /** Whether the scenario's assertion holds; says so if not. */
  static boolean enough(double goodput, Scenario scenario) {
    boolean enough = goodput >= scenario.least();
    if (!enough) {
      System.out.printf(
          Locale.ROOT,
          "ASSERTION FAILED goodput %.3f, at least %.3f wanted%n",
          goodput,
          scenario.least());
    }
    return enough;
  }

  /** A play's folder gets its result, for programs and for people. */
  static void write(RunResult result, Path folder) throws IOException {
    new ObjectMapper()
        .enable(SerializationFeature.INDENT_OUTPUT)
        .writeValue(folder.resolve(RESULT).toFile(), result);
    ResultPage.write(result, folder.resolve(PAGE));
  }
}
