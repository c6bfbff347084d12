package edgegateway.testbed.checker;

/**
 * Something seen at the edge of a fleet, by the clients, the archive servers or the lab itself;
 * times are nanoseconds.
 */
public sealed interface HistoryEvent {
  /** When. */
  long at();

  /**
   * A request's last byte was written to a node. {@code requestClass} and {@code plan} are indices.
   */
  record RequestSent(
      long at, String id, String node, long customer, int plan, int requestClass, long deadline)
      implements HistoryEvent {}

  /** The last byte of a request's answer came. */
  record ResponseReceived(long at, String id, int status) implements HistoryEvent {}

  /** A request's connection was ended by the node without a whole answer. */
  record ConnectionBroken(long at, String id) implements HistoryEvent {}

  /** The client went away before the answer. */
  record ClientDisconnected(long at, String id) implements HistoryEvent {}

  /** An attempt of a request arrived whole at a server. */
  record AttemptReceived(long at, String id, String server) implements HistoryEvent {}

  /** A server turned an attempt away: it never ran. */
  record AttemptRejected(long at, String id, String server) implements HistoryEvent {}

  /** A node was told that a server drains or is gone. */
  record DrainNotified(long at, String node, String server) implements HistoryEvent {}

  /** A server started, cold; whoever was told before that it drains may send again. */
  record ServerStarted(long at, String server) implements HistoryEvent {}

  /** A server's process died. */
  record ServerDied(long at, String server) implements HistoryEvent {}

  /**
   * The most of what a server may be sent while cold that it was sent, as a share; told at the end
   * of its life or of the play.
   */
  record WarmUpPressure(long at, String server, double share) implements HistoryEvent {}

  /** A node was told that a server has started anew, cold. */
  record RestartNotified(long at, String node, String server) implements HistoryEvent {}

  /** A cold server was pushed over. */
  record ServerOverloaded(long at, String server) implements HistoryEvent {}

  /**
   * The lab killed a node's process or cut it off from its clients; what they asked it in this span
   * is no fault of its own.
   */
  record NodeCutOff(long at, String node, long until) implements HistoryEvent {}

  /** A node's process ended by itself. */
  record NodeCrashed(long at, String node, int status) implements HistoryEvent {}
}
