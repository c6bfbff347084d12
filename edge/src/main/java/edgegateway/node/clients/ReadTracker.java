package edgegateway.node.clients;

import edgegateway.node.connections.ConnectionAcceptor;
import io.netty.channel.EventLoop;
import java.util.function.BooleanSupplier;

/**
 * Keeps the {@link InputBacklog} of a connection up to date with the reads of its socket. Not
 * thread-safe: used on the event loop's thread only.
 */
final class ReadTracker {
  private final InputBacklog backlog;
  private final ClientReadBuffers buffers;
  private final EventLoop loop;
  private final BooleanSupplier readPending;
  private long readsCompleted;

  /**
   * Creates the tracker of a connection that was not read yet.
   *
   * @param readPending whether the socket is read as soon as something arrives
   */
  ReadTracker(
      InputBacklog backlog,
      ClientReadBuffers buffers,
      EventLoop loop,
      BooleanSupplier readPending) {
    this.backlog = backlog;
    this.buffers = buffers;
    this.loop = loop;
    this.readPending = readPending;
  }

  /**
   * Called after a read, which may have left bytes in the socket or be the last one for now.
   *
   * @param readUpToNanos the time up to which all that had arrived has been read
   */
  void readCompleted(long readUpToNanos) {
    readsCompleted++;
    if (buffers.lastReadEmptiedSocket() && readPending.getAsBoolean()) {
      readRequested();
    } else {
      backlog.fellBehind(readUpToNanos);
    }
  }

  /**
   * Called when reading goes on after a pause, or after a read that emptied the socket: if the
   * selector then reports nothing to read, there are neither bytes nor the end of the connection.
   */
  void readRequested() {
    if (backlog.isBehind()) {
      long readsBefore = readsCompleted;
      ConnectionAcceptor.afterNextSelect(loop, () -> caughtUpUnlessRead(readsBefore));
    }
  }

  private void caughtUpUnlessRead(long readsBefore) {
    if (readsCompleted == readsBefore && readPending.getAsBoolean()) {
      backlog.caughtUp();
    }
  }
}
