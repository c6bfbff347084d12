package edgegateway.testbed.simulation;

import edgegateway.testbed.network.NetworkPeer;

/** A process that others connect to. */
interface SimulatedPeer {
  /** Who it is. */
  NetworkPeer peer();

  /** Whether something listens there now. */
  boolean isListening();

  /** Which of its lives this is: a connection ends with the life in which it was made. */
  int incarnation();
}
