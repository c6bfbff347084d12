package edgegateway.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/**
 * Entry point of the simulator's adapter: reads events for the policies of many nodes from standard
 * input and writes their actions to standard output, until the input ends.
 */
public final class SimulatorAdapter {
  private static final String COMMAND = "drill";
  private static final int BUFFER_CHARS = 1 << 16;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private SimulatorAdapter() {}

  /**
   * Runs the adapter; the only argument is {@code drill}. With other arguments it exits with status
   * 2. If the input is malformed or cannot be read, or the output cannot be written, it prints one
   * line to standard error and exits with status 1.
   */
  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals(COMMAND)) {
      exit(EXIT_USAGE, "usage: edge-gateway.jar " + COMMAND);
    }
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
    BufferedWriter out =
        new BufferedWriter(
            new OutputStreamWriter(System.out, StandardCharsets.UTF_8), BUFFER_CHARS);
    try {
      new WireReader(in, new WireWriter(out)).run();
    } catch (MalformedInputException e) {
      exit(EXIT_FAILURE, e.getMessage());
    } catch (IOException e) {
      exit(EXIT_FAILURE, "cannot read input or write output: " + e.getMessage());
    }
  }

  private static void exit(int status, String message) {
    System.err.println(message);
    System.exit(status);
  }
}
