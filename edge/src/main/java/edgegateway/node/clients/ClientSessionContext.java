package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnectionTable;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import io.netty.channel.EventLoop;

/**
 * The objects that all client sessions of a server share.
 *
 * @param server receives the sessions' events
 * @param handler receives the clients' requests
 * @param parser parses the clients' requests
 * @param closer closes the clients' connections
 * @param connections the table of the clients' connections
 * @param bufferedBodies limits the memory for buffered bodies
 * @param relays the relays of streamed bodies
 * @param pipelineScheduler shares the event loop among connections with pipelined requests
 * @param stallDetector detects stalls of the event loop, during which no socket is read
 * @param loop the event loop that runs the sessions
 * @param tls whether the clients' connections are encrypted
 */
record ClientSessionContext(
    ServerEvents server,
    ClientRequestHandler handler,
    RequestParser parser,
    ConnectionCloser closer,
    ClientConnectionTable connections,
    BufferedBodies bufferedBodies,
    BodyRelay.Group relays,
    PipelineScheduler pipelineScheduler,
    EventLoopStallDetector stallDetector,
    EventLoop loop,
    boolean tls) {
  /** Receives the events of sessions; implemented by their server. */
  interface ServerEvents {
    /** Whether the server is draining, so that connections close after their next response. */
    boolean isDraining();

    /** The earliest time at which a connection that is accepted now can have been opened. */
    long openedAtNanos(long nowNanos);

    /** A connection was opened, whether or not the connection table accepted it. */
    void connectionOpened();

    /** A connection was closed and removed from the connection table, which frees a slot. */
    void connectionRemoved();

    /** A session ended, whether or not its connection was in the connection table. */
    void sessionEnded();
  }
}
