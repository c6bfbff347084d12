package edgegateway.testbed.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Plays fleets of edge nodes. */
@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Plays fleets of edge nodes, with faults between them.",
    subcommands = {
      Run.class,
      Compare.class,
      ModelRuns.class,
      Scale.class,
      ListScenarios.class,
      Report.class,
      Trace.class
    })
public final class Lab {
  private Lab() {}

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
    return new CommandLine(new Lab())
        .registerConverter(Seeds.class, Seeds::parse)
        .setCaseInsensitiveEnumValuesAllowed(true);
  }
}
