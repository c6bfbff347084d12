package edgegateway.simulator;

/**
 * The simulator sent an invalid line. The message consists of the line's number, the error and the
 * start of the line.
 */
final class MalformedInputException extends Exception {
  private static final long serialVersionUID = 1L;

  private static final int MAX_QUOTED_CHARS = 200;

  MalformedInputException(long lineNumber, String line, String reason) {
    super("line " + lineNumber + ": " + reason + ": " + quoted(line));
  }

  private static String quoted(String line) {
    return line.length() > MAX_QUOTED_CHARS ? line.substring(0, MAX_QUOTED_CHARS) : line;
  }
}
