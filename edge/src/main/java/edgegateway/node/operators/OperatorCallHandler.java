package edgegateway.node.operators;

import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

/**
 * Parses the line of an operator's call, executes the query or command at the node and formats the
 * answer. Thread-safe.
 */
final class OperatorCallHandler {
  private static final String ACK = "ACK\n";
  private static final String NAK_PREFIX = "NAK ";
  private static final String END_OF_TEXT_LINE = "--\n";
  private static final Pattern WHITE_SPACE = Pattern.compile("\\s+");
  private static final Pattern RAMP_SECONDS = Pattern.compile("[1-9][0-9]{0,3}");

  /** Selects the duration of an endpoint's slow start. */
  private static final long DEFAULT_RAMP_SECONDS = 0;

  private final OperatorCommands node;

  OperatorCallHandler(OperatorCommands node) {
    this.node = node;
  }

  /**
   * Executes the call in a line. The future completes with the whole answer, which ends with a
   * newline.
   */
  CompletableFuture<String> answer(String line) {
    String[] words = WHITE_SPACE.split(line.strip());
    OperatorCall call = OperatorCall.of(words[0]);
    if (call == OperatorCall.ZONE_IN
        && words.length == 3
        && RAMP_SECONDS.matcher(words[2]).matches()) {
      return commandAnswer(node.setZoneEjected(words[1], false, Long.parseLong(words[2])));
    }
    if (call != null && call.takesName) {
      return words.length == 2
          ? answerWithName(call, words[1])
          : rejected("one name is wanted, and after zone-in's 1 to 9999 seconds or none");
    }
    return call != null && words.length == 1 ? answerWithoutName(call) : rejected("no such call");
  }

  private CompletableFuture<String> answerWithoutName(OperatorCall call) {
    return switch (call) {
      case CHECK ->
          node.ready() ? CompletableFuture.completedFuture(ACK) : rejected("takes no clients now");
      case VARS -> CompletableFuture.completedFuture(node.metricsText() + END_OF_TEXT_LINE);
      case ZONES -> node.zoneReport().thenApply(text -> text + END_OF_TEXT_LINE);
      case DRAIN_ON -> commandAnswer(node.drain(true));
      case DRAIN_OFF -> commandAnswer(node.drain(false));
      default -> throw new IllegalArgumentException(call + " takes a name");
    };
  }

  private CompletableFuture<String> answerWithName(OperatorCall call, String name) {
    return switch (call) {
      case SET_DOWN -> commandAnswer(node.setEndpointEjected(name, true));
      case SET_UP -> commandAnswer(node.setEndpointEjected(name, false));
      case ZONE_OUT -> commandAnswer(node.setZoneEjected(name, true, DEFAULT_RAMP_SECONDS));
      case ZONE_IN -> commandAnswer(node.setZoneEjected(name, false, DEFAULT_RAMP_SECONDS));
      default -> throw new IllegalArgumentException(call + " takes no name");
    };
  }

  /**
   * Formats the result of a command.
   *
   * @param failureReason completes with null if the command succeeded
   */
  private static CompletableFuture<String> commandAnswer(CompletableFuture<String> failureReason) {
    return failureReason.thenApply(reason -> reason == null ? ACK : negativeAnswer(reason));
  }

  private static CompletableFuture<String> rejected(String reason) {
    return CompletableFuture.completedFuture(negativeAnswer(reason));
  }

  /** Formats a negative answer with its reason. */
  static String negativeAnswer(String reason) {
    return NAK_PREFIX + reason + "\n";
  }
}
