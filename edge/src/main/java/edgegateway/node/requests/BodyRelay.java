package edgegateway.node.requests;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Passes the pieces of one long body on. Its source is read only while little is on its way to the
 * sink, and all relays together have a bound on that, of which each has an equal share: a slow peer
 * holds up nobody else.
 */
public final class BodyRelay {
  /** What a piece takes beside its bytes. */
  private static final int PIECE = 256;

  private final Group all;
  private final Channel from;
  private final Channel to;
  private int onWay;
  private boolean reading;
  private boolean over;
  private long progress = System.nanoTime();

  private BodyRelay(Group all, Channel from, Channel to) {
    this.all = all;
    this.from = from;
    this.to = to;
  }

  /** Takes the bytes over; they go out when the source's read is complete. */
  public void forward(ByteBuf bytes) {
    if (over || !bytes.isReadable()) {
      bytes.release();
      return;
    }
    int cost = bytes.readableBytes() + PIECE;
    onWay += cost;
    progress = System.nanoTime();
    to.write(new DefaultHttpContent(bytes))
        .addListener(
            done -> {
              onWay -= cost;
              progress = System.nanoTime();
              pump();
            });
  }

  /** What was read has been told; more is read when there is room. */
  public void readComplete() {
    reading = false;
    to.flush();
    pump();
  }

  private void pump() {
    if (!over && !reading && onWay < all.share()) {
      reading = true;
      from.read();
    }
  }

  /** The body is through, or one of its ends is gone. */
  public void end() {
    over = true;
    all.running.remove(this);
  }

  /**
   * All relays of an edge node, and the bodies that are held whole until they turn out to be long.
   */
  public static final class Group {
    /** Of the 32 MB that buffers may take; the rest is for what is held whole and for reads. */
    private static final int MOST_ON_WAY = 8 << 20;

    private static final int LEAST_SHARE = 8 << 10;
    private static final int MOST_SHARE = 128 << 10;

    /** A peer that neither takes nor gives anything for so long is given up. */
    private static final long STALL = TimeUnit.SECONDS.toNanos(8);

    private static final long LOOK_MS = 500;

    private final Set<BodyRelay> running = new LinkedHashSet<>();

    public Group(EventLoop loop) {
      loop.scheduleAtFixedRate(this::endStalled, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Begins to read {@code from} by need. */
    public BodyRelay start(Channel from, Channel to) {
      BodyRelay relay = new BodyRelay(this, from, to);
      running.add(relay);
      from.config().setAutoRead(false);
      // The read in which it begins is still going on.
      relay.reading = true;
      return relay;
    }

    private int share() {
      return Math.max(LEAST_SHARE, Math.min(MOST_SHARE, MOST_ON_WAY / Math.max(1, running.size())));
    }

    private void endStalled() {
      long due = System.nanoTime() - STALL;
      for (BodyRelay relay : List.copyOf(running)) {
        if (relay.progress - due < 0) {
          // With something on its way the sink takes nothing; else the source gives nothing. Not by
          // a close: to a
          // body that tells no length that would be its end.
          Channel stalled = relay.onWay > 0 ? relay.to : relay.from;
          stalled.pipeline().fireExceptionCaught(new IOException("a body that goes on no more"));
        }
      }
    }
  }
}
