package edgegateway.simulator;

import edgegateway.policy.api.Outcome;
import java.util.ArrayList;
import java.util.List;

/**
 * A line of the simulator's protocol. Values are accessed by position; the keyword is at position
 * 0. A value of {@code -} is 0 as a number and empty as a list. Each accessor throws {@link
 * MalformedInputException} if its value is missing or invalid.
 */
final class WireLine {
  private final long number;
  private final String line;
  private final String[] fields;

  /**
   * Splits a line.
   *
   * @param number number of the line in the input, from 1
   * @param line the line without its terminator
   */
  WireLine(long number, String line) {
    this.number = number;
    this.line = line;
    String[] split = line.split(SimulatorWire.SEPARATOR);
    // The split of a line that holds only separators is empty.
    fields = split.length == 0 ? new String[] {""} : split;
  }

  /** The keyword of the line; empty if the line is empty or begins with a separator. */
  String keyword() {
    return fields[0];
  }

  /** A copy of all fields of the line, including the keyword. */
  String[] fields() {
    return fields.clone();
  }

  /** Returns a text that is not empty; {@code -} has no special meaning. */
  String textAt(int position) throws MalformedInputException {
    if (position >= fields.length || fields[position].isEmpty()) {
      throw malformed("value " + position + " is missing");
    }
    return fields[position];
  }

  private boolean isAbsent(int position) throws MalformedInputException {
    return textAt(position).equals(SimulatorWire.ABSENT);
  }

  /** Returns an integer of 32 bits. */
  int intAt(int position) throws MalformedInputException {
    long value = longAt(position);
    if (value != (int) value) {
      throw malformed("value " + position + " is out of range");
    }
    return (int) value;
  }

  /** Returns an integer of 64 bits. */
  long longAt(int position) throws MalformedInputException {
    try {
      return isAbsent(position) ? 0 : Long.parseLong(fields[position]);
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not an integer");
    }
  }

  /** Returns a finite number. */
  double doubleAt(int position) throws MalformedInputException {
    try {
      double value = isAbsent(position) ? 0 : Double.parseDouble(fields[position]);
      if (!Double.isFinite(value)) {
        throw malformed("value " + position + " is not finite");
      }
      return value;
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not a number");
    }
  }

  /** Returns a list of numbers separated by commas; empty if the line ends before it. */
  List<Double> doublesAt(int position) throws MalformedInputException {
    List<Double> values = new ArrayList<>();
    if (position < fields.length && !isAbsent(position)) {
      for (String value : fields[position].split(SimulatorWire.LIST_SEPARATOR)) {
        try {
          values.add(Double.parseDouble(value));
        } catch (NumberFormatException e) {
          throw malformed("value " + position + " is not a list of numbers");
        }
      }
    }
    return values;
  }

  /** Returns an outcome. */
  Outcome outcomeAt(int position) throws MalformedInputException {
    return switch (textAt(position)) {
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

  /** Returns an exception for an error in this line. */
  MalformedInputException malformed(String reason) {
    return new MalformedInputException(number, line, reason);
  }
}
