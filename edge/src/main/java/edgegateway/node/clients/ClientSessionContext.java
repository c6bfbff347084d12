package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnectionTable;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import io.netty.channel.EventLoop;

/**
 * What all clients' sessions of a server share.
 *
 * @param server what sessions report to their server
 * @param handler takes their requests
 * @param parser reads their requests
 * @param closer ends their connections
 * @param connections the table of their connections
 * @param bufferedBodies bounds what they buffer
 * @param relays forwards their long bodies
 * @param stallDetector tells whether their sockets were read of late
 * @param loop runs all of this
 * @param tls whether their connections are encrypted
 */
record ClientSessionContext(
    ServerEvents server,
    ClientRequestHandler handler,
    RequestParser parser,
    ConnectionCloser closer,
    ClientConnectionTable connections,
    BufferedBodies bufferedBodies,
    BodyRelay.Group relays,
    EventLoopStallDetector stallDetector,
    EventLoop loop,
    boolean tls) {
  /** What a session asks its server and reports to it. */
  interface ServerEvents {
    /** Whether the server drains: connections close with their next response. */
    boolean isDraining();

    /** A connection was accepted or rejected. */
    void connectionAccepted();

    /** A connection of the table is closed: there is room for another. */
    void connectionRemoved();

    /** A session is over, whether the table had its connection or not. */
    void sessionEnded();
  }
}
