package edgegateway.node.connections;

/** The I/O and timers of {@link UpstreamConnectionTable}, which has none itself. */
public interface UpstreamTransport {
  /**
   * Starts connecting. Reports the result to {@link UpstreamConnection#connected} or {@link
   * UpstreamConnection#connectFailed}, never from within this call.
   */
  void connect(UpstreamConnection connection);

  /** Calls {@link Upstream#connectIfNeeded} after a delay. */
  void scheduleRecheck(Upstream upstream, long delayNanos);
}
