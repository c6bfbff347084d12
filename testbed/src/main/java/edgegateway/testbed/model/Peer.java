package edgegateway.testbed.model;

import edgegateway.testbed.net.Party;

/** A process that others connect to. */
interface Peer {
  /** Who it is. */
  Party party();

  /** Whether something listens there now. */
  boolean listens();

  /** Which of its lives this is: a connection ends with the life in which it was made. */
  int life();
}
