package edgegateway.simulator;

/** Input that is not of the wire; the message gives the line, its number and what is wrong. */
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
