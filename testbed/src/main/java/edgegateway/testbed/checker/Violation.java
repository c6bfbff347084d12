package edgegateway.testbed.checker;

/**
 * A broken rule.
 *
 * @param at when, in nanoseconds
 * @param id the request that shows it; empty if none does
 * @param node the edge node; empty if it is the fleet's
 * @param text one line that says what was seen
 */
public record Violation(Rule rule, long at, String id, String node, String text) {
  /** The rules (wire page, section 9), and what ends a play. */
  public enum Rule {
    /** Each request one final answer in time. */
    ANSWER,
    /** No further attempt that its class does not allow. */
    DUPLICATE,
    /** Nothing new to a server that drains. */
    DRAIN,
    /** No cold server pushed over. */
    COLD,
    /** No customer beyond its ceiling. */
    CEILING,
    /** No process ends by itself. */
    CRASH
  }
}
