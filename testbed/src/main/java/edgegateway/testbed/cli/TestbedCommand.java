package edgegateway.testbed.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Plays fleets of edge nodes. */
@Command(
    name = "testbed",
    mixinStandardHelpOptions = true,
    description = "Plays fleets of edge nodes, with faults between them.",
    subcommands = {
      RunCommand.class,
      CompareCommand.class,
      SimulateCommand.class,
      ScaleCommand.class,
      ListScenariosCommand.class,
      ReportCommand.class,
      TraceCommand.class
    })
public final class TestbedCommand {
  private TestbedCommand() {}

  /**
   * Ends with 0 if all rules and assertions held, 1 if one did not, 2 if the scenario could not be
   * played.
   */
  public static void main(String[] args) {
    // Pages are drawn without a screen.
    System.setProperty("java.awt.headless", "true");
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    return new CommandLine(new TestbedCommand())
        .registerConverter(SeedRange.class, SeedRange::parse)
        .setCaseInsensitiveEnumValuesAllowed(true);
  }
}
