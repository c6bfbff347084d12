package edgegateway.node.discovery;

/** Opens and closes what {@link WatchScheduler} asks for. */
public interface WatchTransport {
  /** Opens a watch; what becomes of it is reported later, never from within this call. */
  void open(WatchScheduler.Watch watch);

  /** Closes a watch: no further event of it is accepted. */
  void close(WatchScheduler.Watch watch);
}
