package edgegateway.node.discovery;

/** Opens and closes the connections of watches for {@link WatchScheduler}. */
public interface WatchTransport {
  /**
   * Opens a connection for the watch. Its events and its end are reported to the scheduler later,
   * never from within this call.
   */
  void open(WatchScheduler.Watch watch);

  /** Closes the connection of a watch, whose events are no longer accepted. */
  void close(WatchScheduler.Watch watch);
}
