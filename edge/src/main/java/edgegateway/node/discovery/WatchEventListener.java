package edgegateway.node.discovery;

import edgegateway.protocol.EndpointList;

/** Receives the events of watches. All methods are called on the event loop. */
interface WatchEventListener {
  /** Revision of the current list; a new watch reports the changes after it. */
  long revision();

  /** A part of the response was received, which need not complete an event. */
  void bytesReceived(WatchScheduler.Watch watch);

  /** An empty line was received: discovery is alive and has no change to report. */
  void keepAliveReceived(WatchScheduler.Watch watch);

  /** A complete list or a set of changes was received. */
  void listReceived(WatchScheduler.Watch watch, EndpointList list);
}
