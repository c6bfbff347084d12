package edgegateway.testbed.fakes;

/**
 * One watch of an {@link FakeDiscoveryAgent}'s list: what to write to its connection, and when. Not
 * thread-safe.
 */
public final class FakeDiscoveryWatch {
  /**
   * As long as nothing changes an empty line comes so often (protocol, Discovery), in nanoseconds.
   */
  public static final long KEEP_ALIVE_NANOS = 2_000_000_000L;

  private final FakeDiscoveryAgent agent;
  private long sentRevision;
  private long nextLineNanos;
  private boolean started;

  /** Begins after a version; its first line is due at once. */
  public FakeDiscoveryWatch(FakeDiscoveryAgent agent, long nowNanos, long afterRevision) {
    this.agent = agent;
    sentRevision = afterRevision;
    nextLineNanos = nowNanos;
  }

  /** When to ask next if the agent hears of nothing before. */
  public long nextLineDueNanos() {
    return nextLineNanos;
  }

  /**
   * What to write now: a roll, an empty line ({@code members} is empty and the version the last
   * one), or null.
   */
  public DiscoveryMessage poll(long nowNanos) {
    agent.advanceTo(nowNanos);
    if (agent.silenced()) {
      nextLineNanos = Math.max(nextLineNanos, nowNanos + KEEP_ALIVE_NANOS);
      return null;
    }
    if (!started || agent.revision() != sentRevision || nowNanos >= nextLineNanos) {
      DiscoveryMessage message = agent.changesSince(sentRevision);
      started = true;
      sentRevision = message.revision();
      nextLineNanos = nowNanos + KEEP_ALIVE_NANOS;
      return message;
    }
    return null;
  }
}
