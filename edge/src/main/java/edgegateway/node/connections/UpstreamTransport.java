package edgegateway.node.connections;

/** What {@link UpstreamConnectionTable} needs done: it does no I/O and has no timers. */
public interface UpstreamTransport {
  /**
   * Begins to connect. {@link UpstreamConnection#connected} or {@link
   * UpstreamConnection#connectFailed} follows, never from within this call.
   */
  void connect(UpstreamConnection connection);

  /** Calls {@link Upstream#connectIfNeeded} after a delay. */
  void scheduleRecheck(Upstream upstream, long delayNanos);
}
