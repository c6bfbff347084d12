package edgegateway.testbed.cli;

import edgegateway.testbed.report.ScalePage;
import edgegateway.testbed.scale.CapacityFile;
import edgegateway.testbed.scale.CapacityTables;
import edgegateway.testbed.scale.GrowthCurve;
import edgegateway.testbed.scale.ScaleResult;
import edgegateway.testbed.scale.ScaleTables;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The tables of plays that were played before. */
@Command(
    name = "report",
    mixinStandardHelpOptions = true,
    description = "Prints the tables of results in Markdown.")
final class ScaleReportCommand implements Callable<Integer> {
  /** Between these lines of a page the tables stand. */
  static final String BEGIN = "<!-- tables of testbed scale report -->";

  static final String END = "<!-- end of tables -->";

  @Parameters(paramLabel = "DIR", arity = "1..*", description = "folders with a scale.json each")
  private List<Path> folders;

  @Option(
      names = "--page",
      paramLabel = "FILE",
      description =
          "a page of which what stands between its two marks is written anew; printed if left out")
  private Path page;

  @Option(
      names = "--plots",
      paramLabel = "FILE",
      description = "an HTML page with each line over size and its budget")
  private Path plots;

  @Override
  public Integer call() {
    List<ScaleResult> results = new ArrayList<>();
    for (Path folder : folders) {
      try {
        results.add(ScaleResult.read(folder));
      } catch (IOException e) {
        System.err.println(folder + ": " + e.getMessage().lines().findFirst().orElse(""));
        return 2;
      }
    }
    try {
      CapacityFile own = CapacityFile.own();
      String tables = ScaleTables.of(results) + CapacityTables.of(own, results);
      if (plots != null) {
        ScalePage.write(GrowthCurve.of(own, results), plots);
      }
      if (page == null) {
        System.out.print(tables);
      } else {
        Files.writeString(page, within(Files.readString(page), tables));
      }
      return 0;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return 2;
    }
  }

  /** A page with what stands between its marks anew. */
  static String within(String page, String tables) throws IOException {
    int from = page.indexOf(BEGIN);
    int to = page.indexOf(END);
    if (from < 0 || to < from) {
      throw new IOException("the page has no lines " + BEGIN + " and " + END);
    }
    return page.substring(0, from) + BEGIN + "\n\n" + tables + page.substring(to);
  }
}
