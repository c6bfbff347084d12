package edgegateway.testbed.fakes;

/**
 * One watch of an {@link FakeDiscoveryAgent}'s list: what to write to its connection, and when. Not
 * thread-safe.
 */
public final class FakeDiscoveryWatch {
  /**
   * As long as nothing changes an empty line comes so often (protocol, Discovery), in nanoseconds.
   */
  public static final long IDLE = 2_000_000_000L;

  private final FakeDiscoveryAgent agent;
  private long told;
  private long lineAt;
  private boolean begun;

  /** Begins after a version; its first line is due at once. */
  public FakeDiscoveryWatch(FakeDiscoveryAgent agent, long now, long after) {
    this.agent = agent;
    told = after;
    lineAt = now;
  }

  /** When to ask next if the agent hears of nothing before. */
  public long next() {
    return lineAt;
  }

  /**
   * What to write now: a roll, an empty line ({@code members} is empty and the version the last
   * one), or null.
   */
  public DiscoveryMessage poll(long now) {
    agent.advance(now);
    if (agent.silent()) {
      lineAt = Math.max(lineAt, now + IDLE);
      return null;
    }
    if (!begun || agent.revision() != told || now >= lineAt) {
      DiscoveryMessage roll = agent.since(told);
      begun = true;
      told = roll.revision();
      lineAt = now + IDLE;
      return roll;
    }
    return null;
  }
}
