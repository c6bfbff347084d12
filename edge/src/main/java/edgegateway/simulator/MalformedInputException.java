package edgegateway.simulator;

/** Input that is not of the wire; the message names the line and what is wrong with it. */
final class MalformedInputException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedInputException(long lineNumber, String line, String why) {
    super(
        "line "
            + lineNumber
            + ": "
            + why
            + ": "
            + (line.length() > 200 ? line.substring(0, 200) : line));
  }
}
