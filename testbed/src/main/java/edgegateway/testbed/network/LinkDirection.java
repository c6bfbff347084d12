package edgegateway.testbed.network;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * One direction of a connection on sockets: what is read at its source goes through a {@link
 * TcpStreamModel} to its sink.
 */
final class LinkDirection {
  /** A window of TCP: by so many bytes under way the source is not read. */
  static final int WINDOW = 1 << 18;

  private static final Object END = new Object();
  private static final Object RESET = new Object();
  private static final Object OPEN = new Object();

  private final TcpStreamModel<Object> stream;
  private final Supplier<LinkConditions> conditions;
  private final Channel source;
  private final Runnable opened;
  private final Runnable ends;
  private Channel sink;
  private ScheduledFuture<?> wake;
  private boolean ended;
  private boolean reset;

  /**
   * {@code opened} runs when the first word of this connection has come through, {@code ends} when
   * its end has been passed on or it was reset.
   */
  LinkDirection(
      SplittableRandom chance,
      Supplier<LinkConditions> conditions,
      Channel source,
      Runnable opened,
      Runnable ends) {
    stream = new TcpStreamModel<>(chance);
    this.conditions = conditions;
    this.source = source;
    this.opened = opened;
    this.ends = ends;
  }

  /** Asks for the connection at the far end. */
  void open() {
    enter(OPEN, 0);
  }

  /** From now on what comes out has where to go. */
  void into(Channel to) {
    sink = to;
    source.config().setAutoRead(true);
  }

  void read(ByteBuf bytes) {
    enter(bytes, bytes.readableBytes());
    if (stream.held() >= WINDOW) {
      source.config().setAutoRead(false);
    }
  }

  void sourceEnded() {
    enter(END, 0);
  }

  void sourceReset() {
    enter(RESET, 0);
  }

  private void enter(Object part, int bytes) {
    stream.enter(System.nanoTime(), part, bytes, conditions.get());
    pump();
  }

  /**
   * Passes on what is due as far as the sink takes it; to be called whenever the conditions change,
   * too.
   */
  void pump() {
    LinkConditions now = conditions.get();
    Object part = takes() ? stream.poll(System.nanoTime(), now) : null;
    while (part != null) {
      pass(part);
      part = takes() ? stream.poll(System.nanoTime(), now) : null;
    }
    if (sink != null) {
      sink.flush();
      if (stream.held() < WINDOW / 2 && !source.config().isAutoRead()) {
        source.config().setAutoRead(true);
      }
    }
    if (wake != null) {
      wake.cancel(false);
      wake = null;
    }
    if (takes() && stream.next() != Long.MAX_VALUE) {
      wake =
          source
              .eventLoop()
              .schedule(
                  this::pump, Math.max(0, stream.next() - System.nanoTime()), TimeUnit.NANOSECONDS);
    }
  }

  /** Before there is a sink only the word that asks for it is under way. */
  private boolean takes() {
    return sink == null || sink.isWritable();
  }

  private void pass(Object part) {
    if (part == OPEN) {
      opened.run();
    } else if (part instanceof ByteBuf bytes) {
      sink.write(bytes);
    } else if (part == RESET) {
      reset = true;
      ends.run();
    } else {
      // Behind all that was written: an end by itself would throw away what the socket has not
      // taken yet.
      sink.writeAndFlush(Unpooled.EMPTY_BUFFER)
          .addListener(
              written ->
                  ((DuplexChannel) sink)
                      .shutdownOutput()
                      .addListener(
                          done -> {
                            ended = true;
                            ends.run();
                          }));
    }
  }

  /** Whether its end has come out. */
  boolean ended() {
    return ended;
  }

  /** Whether its source was reset and the sink has been told. */
  boolean wasReset() {
    return reset;
  }

  /** Nothing comes out any more; what is under way is let go. */
  void drop() {
    if (wake != null) {
      wake.cancel(false);
    }
    Object part = stream.poll(Long.MAX_VALUE, LinkConditions.GOOD);
    while (part != null) {
      if (part instanceof ByteBuf bytes) {
        bytes.release();
      }
      part = stream.poll(Long.MAX_VALUE, LinkConditions.GOOD);
    }
  }
}
