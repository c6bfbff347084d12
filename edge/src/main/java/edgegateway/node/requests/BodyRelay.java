package edgegateway.node.requests;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.ChannelTransport;
import edgegateway.node.connections.WriteStallTimeout;
import edgegateway.node.logging.EventLog;
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
 * Forwards one long body from a source channel to a sink channel. To apply backpressure, the source
 * is read only while the bytes in flight to the sink stay below a limit. The relays of a node share
 * a total limit evenly, so that a slow peer does not block the relays of others. A body that was
 * received completely counts until it is written. Not thread-safe: used on the event loop's thread
 * only.
 */
public final class BodyRelay {
  private static final EventLog LOG = EventLog.console();

  /** Memory that each chunk of a body takes in addition to its content. */
  private static final int CHUNK_OVERHEAD_BYTES = 256;

  private final Group group;
  private final Channel source;
  private final Channel sink;
  private final long sourceStallTimeoutNanos;
  private final Runnable onReadRequested;
  private int bytesInFlight;

  /**
   * Whether a read of the source is in progress; initially true, since a relay starts within one.
   */
  private boolean reading = true;

  private boolean ended;
  private long lastProgressNanos = System.nanoTime();

  /** When bytes were last received, or a read was requested after a pause. */
  private long sourceAwaitedSinceNanos = lastProgressNanos;

  private long receivedBytes;

  private BodyRelay(
      Group group,
      Channel source,
      Channel sink,
      long sourceStallTimeoutNanos,
      Runnable onReadRequested) {
    this.group = group;
    this.source = source;
    this.sink = sink;
    this.sourceStallTimeoutNanos = sourceStallTimeoutNanos;
    this.onReadRequested = onReadRequested;
  }

  /** Whether a read of the source is requested or in progress. */
  public boolean isReadRequested() {
    return reading;
  }

  /** How many bytes of the body this relay has received. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** How long the source has sent nothing although it is read; 0 while it is not read. */
  public long sourceSilentNanos() {
    return sourceSilentNanos(System.nanoTime());
  }

  private long sourceSilentNanos(long nowNanos) {
    return reading ? nowNanos - sourceAwaitedSinceNanos : 0;
  }

  /**
   * Writes a chunk of the body to the sink, which {@link #readComplete} flushes. Takes ownership of
   * the chunk.
   */
  public void forward(ByteBuf chunk) {
    if (ended || !chunk.isReadable()) {
      chunk.release();
      return;
    }
    int chunkBytes = chunk.readableBytes() + CHUNK_OVERHEAD_BYTES;
    bytesInFlight += chunkBytes;
    receivedBytes += chunk.readableBytes();
    lastProgressNanos = System.nanoTime();
    sourceAwaitedSinceNanos = lastProgressNanos;
    sink.write(new DefaultHttpContent(BodyChunks.compact(chunk)))
        .addListener(done -> chunkWritten(chunkBytes));
  }

  private void chunkWritten(int chunkBytes) {
    bytesInFlight -= chunkBytes;
    lastProgressNanos = System.nanoTime();
    if (ended) {
      group.unwrittenBytes -= chunkBytes;
    } else {
      readIfBelowLimit();
    }
  }

  /**
   * Flushes the sink when a read of the source is complete, and starts the next read if the bytes
   * in flight are below the limit.
   */
  public void readComplete() {
    reading = false;
    sink.flush();
    readIfBelowLimit();
  }

  private void readIfBelowLimit() {
    if (!ended && !reading && bytesInFlight < group.maxBytesPerRelay()) {
      reading = true;
      sourceAwaitedSinceNanos = System.nanoTime();
      source.read();
      onReadRequested.run();
    }
  }

  /** Ends the relay: the body is complete, or its source or sink is closed. Idempotent. */
  public void end() {
    if (!ended) {
      ended = true;
      group.ended(this);
    }
  }

  private boolean isStalled(long nowNanos) {
    return sourceSilentNanos(nowNanos) > sourceStallTimeoutNanos
        || bytesInFlight > 0
            && WriteStallTimeout.isExpired(
                nowNanos - lastProgressNanos, new ChannelTransport(sink));
  }

  /**
   * Closes the peer that makes no progress: the sink if bytes are in flight to it, otherwise the
   * source. Fires an exception instead of closing the channel, because a body without a declared
   * length is complete when its connection closes.
   */
  private void abortStalled(long nowNanos) {
    boolean sourceStalled =
        bytesInFlight == 0 || sourceSilentNanos(nowNanos) > sourceStallTimeoutNanos;
    Channel stalled = sourceStalled ? source : sink;
    LOG.warn(
        "transfer_stalled",
        field("stalled", sourceStalled ? "source" : "sink"),
        field("received_bytes", receivedBytes),
        field("unwritten_bytes", bytesInFlight),
        field("idle_ms", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastProgressNanos)),
        field("source_silent_ms", TimeUnit.NANOSECONDS.toMillis(sourceSilentNanos(nowNanos))));
    stalled.pipeline().fireExceptionCaught(new IOException("no progress in forwarding the body"));
  }

  /** The relays of a node, which share one limit on the bytes in flight. */
  public static final class Group {
    /**
     * Part of the 32 MB of buffer memory; the rest is for completely buffered bodies and for reads.
     */
    private static final int DEFAULT_MAX_BYTES_IN_FLIGHT = 8 << 20;

    private static final int MIN_BYTES_PER_RELAY = 8 << 10;
    private static final int MAX_BYTES_PER_RELAY = 128 << 10;
    private static final long DOWNLOAD_STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** A client that stops within its request is owed an error or a close within 3 s. */
    private static final long UPLOAD_STALL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

    private static final long STALL_CHECK_INTERVAL_MILLIS = 500;

    private final Set<BodyRelay> running = new LinkedHashSet<>();
    private int maxBytesInFlight = DEFAULT_MAX_BYTES_IN_FLIGHT;

    /** Bytes in flight of relays that have ended. */
    private int unwrittenBytes;

    /** Starts the periodic check for stalled relays. */
    public Group(EventLoop loop) {
      loop.scheduleAtFixedRate(
          this::abortStalled,
          STALL_CHECK_INTERVAL_MILLIS,
          STALL_CHECK_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a relay. Must be called during a read of the source, whose automatic reading it turns
     * off: the relay requests each further read.
     */
    public BodyRelay start(Channel source, Channel sink) {
      return start(source, sink, DOWNLOAD_STALL_TIMEOUT_NANOS, () -> {});
    }

    /**
     * Starts a relay of a request's body, whose client may pause only shortly. See {@link #start}.
     *
     * @param onReadRequested run whenever the client is read again after a pause
     */
    public BodyRelay startUpload(Channel source, Channel sink, Runnable onReadRequested) {
      return start(source, sink, UPLOAD_STALL_TIMEOUT_NANOS, onReadRequested);
    }

    private BodyRelay start(
        Channel source, Channel sink, long sourceStallTimeoutNanos, Runnable onReadRequested) {
      BodyRelay relay = new BodyRelay(this, source, sink, sourceStallTimeoutNanos, onReadRequested);
      running.add(relay);
      source.config().setAutoRead(false);
      return relay;
    }

    /** Sets the limit on the bytes in flight of all relays together. */
    public void limitTo(int bytes) {
      maxBytesInFlight = bytes;
    }

    private void ended(BodyRelay relay) {
      running.remove(relay);
      unwrittenBytes += relay.bytesInFlight;
    }

    private int maxBytesPerRelay() {
      int availableBytes = maxBytesInFlight - unwrittenBytes;
      int evenShareBytes = availableBytes / Math.max(1, running.size());
      return Math.max(MIN_BYTES_PER_RELAY, Math.min(MAX_BYTES_PER_RELAY, evenShareBytes));
    }

    private void abortStalled() {
      long nowNanos = System.nanoTime();
      for (BodyRelay relay : List.copyOf(running)) {
        if (relay.isStalled(nowNanos)) {
          relay.abortStalled(nowNanos);
        }
      }
    }
  }
}
