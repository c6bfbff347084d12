package edgegateway.node.clients;

import edgegateway.node.connections.ConnectionAcceptor;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Shares the event loop among the connections whose next request is in memory already: each handles
 * one request a turn, in rounds, and all of them together take at most {@link #MAX_ROUND_NANOS}
 * between two reads of the sockets. A client that sends many requests at once thus delays the
 * others by that time at most. Not thread-safe: used on the event loop's thread only.
 */
final class PipelineScheduler {
  private static final long MAX_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private final EventLoop loop;
  private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
  private boolean scheduled;

  PipelineScheduler(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs a turn after those that wait already; the caller adds each connection once at a time. */
  void add(Runnable turn) {
    turns.add(turn);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::run);
    }
  }

  private void run() {
    long startedNanos = System.nanoTime();
    while (!turns.isEmpty() && System.nanoTime() - startedNanos < MAX_ROUND_NANOS) {
      turns.poll().run();
    }
    scheduled = !turns.isEmpty();
    if (scheduled) {
      ConnectionAcceptor.afterNextSelect(loop, this::run);
    }
  }
}
