package edgegateway.testbed.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import edgegateway.testbed.report.ResultPage;
import edgegateway.testbed.scenario.RunResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The page of a play that was played before. */
@Command(
    name = "report",
    mixinStandardHelpOptions = true,
    description = "Writes a play's page anew from its result.json.")
final class ReportCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "the play's folder")
  private Path folder;

  @Override
  public Integer call() {
    try {
      ResultPage.write(
          new ObjectMapper().readValue(folder.resolve(RunCommand.RESULT).toFile(), RunResult.class),
          folder.resolve(RunCommand.PAGE));
      System.out.println(folder.resolve(RunCommand.PAGE));
      return 0;
    } catch (IOException e) {
      System.err.println(folder + ": " + e.getMessage());
      return 2;
    }
  }
}
