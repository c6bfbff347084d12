package edgegateway.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/**
 * Entry point of the simulator's adapter: runs the policies of many nodes on the simulator's wire,
 * events on standard input and actions on standard output, until its input ends.
 */
public final class SimulatorAdapter {
  private static final String COMMAND = "drill";
  private static final int BUFFER_CHARS = 1 << 16;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  private SimulatorAdapter() {}

  /**
   * Runs the adapter; the only argument is the word {@code drill}. Exits with 2 if it is called
   * otherwise, and with 1 and one line on standard error if the input is malformed or broken.
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
      exit(EXIT_FAILURE, "the wire broke: " + e.getMessage());
    }
  }

  private static void exit(int status, String message) {
    System.err.println(message);
    System.exit(status);
  }
}
