package edgegateway.simulator;

import edgegateway.policy.api.Outcome;
import java.util.ArrayList;
import java.util.List;

/**
 * A line of the wire. Values are addressed by their position, the first word being at 0. A value
 * that is absent reads as 0, and as an empty list.
 */
final class WireLine {
  private final long number;
  private final String line;
  private final String[] words;

  /** The line of the given number, from 1, without its line end. */
  WireLine(long number, String line) {
    this.number = number;
    this.line = line;
    String[] split = line.split(SimulatorWire.SEPARATOR);
    words = split.length == 0 ? new String[] {""} : split;
  }

  /** The word that says what the line is. */
  String firstWord() {
    return words[0];
  }

  /** All words of the line. */
  String[] words() {
    return words.clone();
  }

  /** A text, never empty. */
  String text(int position) throws MalformedInputException {
    if (position >= words.length || words[position].isEmpty()) {
      throw malformed("value " + position + " is missing");
    }
    return words[position];
  }

  private boolean absent(int position) throws MalformedInputException {
    return text(position).equals(SimulatorWire.ABSENT);
  }

  /** A whole number of 32 bits. */
  int integer(int position) throws MalformedInputException {
    long value = whole(position);
    if (value != (int) value) {
      throw malformed("value " + position + " is out of range");
    }
    return (int) value;
  }

  /** A whole number of 64 bits. */
  long whole(int position) throws MalformedInputException {
    try {
      return absent(position) ? 0 : Long.parseLong(words[position]);
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not a whole number");
    }
  }

  /** A finite number. */
  double number(int position) throws MalformedInputException {
    try {
      double value = absent(position) ? 0 : Double.parseDouble(words[position]);
      if (!Double.isFinite(value)) {
        throw malformed("value " + position + " is not finite");
      }
      return value;
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not a number");
    }
  }

  /** Numbers separated by commas; none if the line ends before. */
  List<Double> numbers(int position) throws MalformedInputException {
    List<Double> values = new ArrayList<>();
    if (position < words.length && !absent(position)) {
      for (String value : words[position].split(SimulatorWire.LIST_SEPARATOR)) {
        try {
          values.add(Double.parseDouble(value));
        } catch (NumberFormatException e) {
          throw malformed("value " + position + " is not a row of numbers");
        }
      }
    }
    return values;
  }

  /** An outcome. */
  Outcome outcome(int position) throws MalformedInputException {
    return switch (text(position)) {
      case SimulatorWire.Outcomes.OK -> Outcome.OK;
      case SimulatorWire.Outcomes.ERROR -> Outcome.ERROR;
      case SimulatorWire.Outcomes.REJECTED -> Outcome.REJECTED;
      case SimulatorWire.Outcomes.TIMEOUT -> Outcome.TIMEOUT;
      case SimulatorWire.Outcomes.CONNECT_FAILED -> Outcome.CONNECT_FAILED;
      case SimulatorWire.Outcomes.RESET -> Outcome.RESET;
      case SimulatorWire.Outcomes.CANCELLED -> Outcome.CANCELLED;
      case SimulatorWire.Outcomes.NOT_SENT -> Outcome.NOT_SENT;
      default -> throw malformed("unknown outcome");
    };
  }

  /** An error about this line. */
  MalformedInputException malformed(String reason) {
    return new MalformedInputException(number, line, reason);
  }
}
