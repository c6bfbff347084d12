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
 * Forwards the pieces of one long body from its source to its sink. The source is read only while
 * few bytes are in flight to the sink (backpressure). All relays of a node share a bound on these
 * bytes evenly, so that a slow peer holds up nobody else. For the event loop's thread.
 */
public final class BodyRelay {
  /** The memory that a piece takes beside its bytes. */
  private static final int PIECE_OVERHEAD_BYTES = 256;

  private final Group group;
  private final Channel source;
  private final Channel sink;
  private int bytesInFlight;

  /** Whether a read of the source has not completed yet; a relay is started within one. */
  private boolean reading = true;

  private boolean ended;
  private long lastProgressNanos = System.nanoTime();

  private BodyRelay(Group group, Channel source, Channel sink) {
    this.group = group;
    this.source = source;
    this.sink = sink;
  }

  /** Writes a piece to the sink, and takes it over; it is flushed by {@link #readComplete}. */
  public void forward(ByteBuf piece) {
    if (ended || !piece.isReadable()) {
      piece.release();
      return;
    }
    int pieceBytes = piece.readableBytes() + PIECE_OVERHEAD_BYTES;
    bytesInFlight += pieceBytes;
    lastProgressNanos = System.nanoTime();
    sink.write(new DefaultHttpContent(piece)).addListener(done -> written(pieceBytes));
  }

  private void written(int pieceBytes) {
    bytesInFlight -= pieceBytes;
    lastProgressNanos = System.nanoTime();
    readIfRoom();
  }

  /** A read of the source is complete: flushes the sink, and reads on if there is room. */
  public void readComplete() {
    reading = false;
    sink.flush();
    readIfRoom();
  }

  private void readIfRoom() {
    if (!ended && !reading && bytesInFlight < group.bytesPerRelay()) {
      reading = true;
      source.read();
    }
  }

  /** The body is complete, or its source or sink is gone. May be repeated. */
  public void end() {
    ended = true;
    group.ended(this);
  }

  private boolean isStalled(long now) {
    return now - lastProgressNanos > Group.STALL_TIMEOUT_NANOS;
  }

  /**
   * Closes the peer that makes no progress: the sink while something is in flight to it, else the
   * source. As an error, for a close would be the proper end of a body without a length.
   */
  private void abortStalled() {
    Channel stalled = bytesInFlight > 0 ? sink : source;
    stalled.pipeline().fireExceptionCaught(new IOException("a body that goes on no more"));
  }

  /** All relays of a node. */
  public static final class Group {
    /** Of the 32 MB of buffers; the rest is for bodies that are buffered whole, and for reads. */
    private static final int MAX_BYTES_IN_FLIGHT = 8 << 20;

    private static final int MIN_BYTES_PER_RELAY = 8 << 10;
    private static final int MAX_BYTES_PER_RELAY = 128 << 10;
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long STALL_CHECK_INTERVAL_MILLIS = 500;

    private final Set<BodyRelay> running = new LinkedHashSet<>();

    /** Begins to look for stalled relays. */
    public Group(EventLoop loop) {
      loop.scheduleAtFixedRate(
          this::abortStalled,
          STALL_CHECK_INTERVAL_MILLIS,
          STALL_CHECK_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    /** Starts a relay, within a read of the source; from now on it reads the source on demand. */
    public BodyRelay start(Channel source, Channel sink) {
      BodyRelay relay = new BodyRelay(this, source, sink);
      running.add(relay);
      source.config().setAutoRead(false);
      return relay;
    }

    private void ended(BodyRelay relay) {
      running.remove(relay);
    }

    private int bytesPerRelay() {
      int evenPart = MAX_BYTES_IN_FLIGHT / Math.max(1, running.size());
      return Math.max(MIN_BYTES_PER_RELAY, Math.min(MAX_BYTES_PER_RELAY, evenPart));
    }

    private void abortStalled() {
      long now = System.nanoTime();
      for (BodyRelay relay : List.copyOf(running)) {
        if (relay.isStalled(now)) {
          relay.abortStalled();
        }
      }
    }
  }
}
