package edgegateway.testbed.checker;

import java.util.List;

/**
 * The figures of the rules; spans are nanoseconds.
 *
 * @param deadlineGraceNanos so long after its deadline an answer still counts
 * @param drainGraceNanos so long after a node was told that a server drains it may send there
 * @param overloadWindowNanos what reached a cold server in this span before it fell over pushed it
 */
public record InvariantSettings(
    long deadlineGraceNanos,
    long drainGraceNanos,
    long overloadWindowNanos,
    List<RetryRule> classes,
    List<Ceiling> plans) {
  /**
   * How a class may be sent again: {@code SAFE} always, {@code KEYED} for {@code keyLife} after it
   * was first sent, else never.
   */
  public record RetryRule(Kind kind, long keyLifetimeNanos) {
    /** What a repeat does. */
    public enum Kind {
      SAFE,
      KEYED,
      UNSAFE
    }
  }

  /**
   * A plan's ceiling: a store of {@code burst} units that fills at {@code rate} a second; 0 for
   * none.
   */
  public record Ceiling(double unitsPerSecond, double burstUnits, double slackUnits) {}
}
