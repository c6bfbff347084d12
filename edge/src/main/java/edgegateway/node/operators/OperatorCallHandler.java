package edgegateway.node.operators;

import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

/** Reads a line of an operator, has the node carry it out, and gives the answer. Any thread. */
final class OperatorCallHandler {
  private static final String YES = "ACK\n";
  private static final String NO = "NAK ";
  private static final String END_OF_TEXT = "--\n";
  private static final Pattern WHITE_SPACE = Pattern.compile("\\s+");
  private static final Pattern RAMP_SECONDS = Pattern.compile("[1-9][0-9]{0,3}");

  /** The node then takes as long as a server's slow start. */
  private static final long DEFAULT_RAMP = 0;

  private final OperatorCommands node;

  OperatorCallHandler(OperatorCommands node) {
    this.node = node;
  }

  /** The whole answer to a line, given once its command was carried out; it ends with a newline. */
  CompletableFuture<String> answer(String line) {
    String[] words = WHITE_SPACE.split(line.strip());
    OperatorCall call = OperatorCall.of(words[0]);
    if (call == OperatorCall.ZONE_IN
        && words.length == 3
        && RAMP_SECONDS.matcher(words[2]).matches()) {
      return confirmed(node.setZoneEjected(words[1], false, Long.parseLong(words[2])));
    }
    if (call != null && call.takesName) {
      return words.length == 2
          ? answerNamed(call, words[1])
          : refused("one name is wanted, and after zone-in's 1 to 9999 seconds or none");
    }
    return call != null && words.length == 1 ? answerPlain(call) : refused("no such call");
  }

  private CompletableFuture<String> answerPlain(OperatorCall call) {
    return switch (call) {
      case CHECK ->
          node.ready() ? CompletableFuture.completedFuture(YES) : refused("takes no clients now");
      case VARS -> CompletableFuture.completedFuture(node.metricsText() + END_OF_TEXT);
      case ZONES -> node.zoneReport().thenApply(text -> text + END_OF_TEXT);
      case DRAIN_ON -> confirmed(node.drain(true));
      case DRAIN_OFF -> confirmed(node.drain(false));
      default -> throw new IllegalArgumentException(call + " takes a name");
    };
  }

  private CompletableFuture<String> answerNamed(OperatorCall call, String name) {
    return switch (call) {
      case SET_DOWN -> confirmed(node.setEndpointEjected(name, true));
      case SET_UP -> confirmed(node.setEndpointEjected(name, false));
      case ZONE_OUT -> confirmed(node.setZoneEjected(name, true, DEFAULT_RAMP));
      case ZONE_IN -> confirmed(node.setZoneEjected(name, false, DEFAULT_RAMP));
      default -> throw new IllegalArgumentException(call + " takes no name");
    };
  }

  /** A command's outcome: null is a yes, else it tells why not. */
  private static CompletableFuture<String> confirmed(CompletableFuture<String> outcome) {
    return outcome.thenApply(reason -> reason == null ? YES : refusal(reason));
  }

  private static CompletableFuture<String> refused(String reason) {
    return CompletableFuture.completedFuture(refusal(reason));
  }

  /** The answer that tells why not. */
  static String refusal(String reason) {
    return NO + reason + "\n";
  }
}
