package edgegateway.node.discovery;

import edgegateway.protocol.EndpointList;

/** Receives the events of watches. All methods are for the event loop's thread. */
interface WatchEventListener {
  /** The revision to watch from. */
  long revision();

  /** An empty line: discovery has no change to report. */
  void keepAliveReceived(WatchScheduler.Watch watch);

  /** A complete list, or changes. */
  void listReceived(WatchScheduler.Watch watch, EndpointList list);
}
