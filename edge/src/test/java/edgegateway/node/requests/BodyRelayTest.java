package edgegateway.node.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the shared limit of bodies that are being forwarded, without sockets. */
class BodyRelayTest {
  private static final int CHUNK_BYTES = 8 << 10;
  private static final int TOTAL_LIMIT_BYTES = 8 << 20;

  /** Each relay may exceed its limit by its last chunk, and has a minimum limit of one chunk. */
  private static final int ALLOWANCE_PER_RELAY_BYTES = 2 * (CHUNK_BYTES + 256);

  private final BodyRelay.Group group = new BodyRelay.Group(new EmbeddedChannel().eventLoop());
  private int bytesInFlight;

  /** A sink that accepts writes, and completes them only on {@link #completeWrites}. */
  private final class SlowSink extends ChannelOutboundHandlerAdapter {
    private final List<ChannelPromise> pending = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(this);

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      pending.add(promise);
      bytesInFlight += CHUNK_BYTES;
    }

    void completeWrites() {
      bytesInFlight -= pending.size() * CHUNK_BYTES;
      pending.forEach(ChannelPromise::setSuccess);
      pending.clear();
    }
  }

  /** A source that records whether its next read was requested. */
  private static final class Source extends ChannelOutboundHandlerAdapter {
    private final EmbeddedChannel channel = new EmbeddedChannel(this);
    private boolean readRequested;

    @Override
    public void read(ChannelHandlerContext context) {
      readRequested = true;
    }
  }

  /** Forwards as much of a body as the relay requests, ends it, and returns its sink. */
  private SlowSink forwardAndEnd() {
    SlowSink sink = new SlowSink();
    Source source = new Source();
    BodyRelay relay = group.start(source.channel, sink.channel);
    do {
      source.readRequested = false;
      relay.forward(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
      relay.readComplete();
    } while (source.readRequested);
    relay.end();
    return sink;
  }

  /**
   * Guards against memory that grows with the number of clients that do not read: a body that was
   * received completely is in memory until it is written.
   */
  @Test
  void bodiesThatEndedUnwrittenCountAgainstTheSharedLimit() {
    List<SlowSink> sinks = new ArrayList<>();
    int relayCount = 340;
    for (int i = 1; i <= relayCount; i++) {
      sinks.add(forwardAndEnd());
      assertTrue(
          bytesInFlight <= TOTAL_LIMIT_BYTES + i * ALLOWANCE_PER_RELAY_BYTES,
          bytesInFlight + " bytes in flight after " + i + " bodies");
    }
    sinks.forEach(SlowSink::completeWrites);
    assertEquals(0, bytesInFlight);
    int alone = forwardAndEnd().pending.size() * CHUNK_BYTES;
    assertTrue(alone >= 120 << 10, "limit of a relay after the others were written: " + alone);
  }

  /** Guards against an ended relay that requests further reads of its source. */
  @Test
  void anEndedRelayRequestsNoFurtherReads() {
    SlowSink sink = new SlowSink();
    Source source = new Source();
    BodyRelay relay = group.start(source.channel, sink.channel);
    // The channel requested a read when it became active.
    source.readRequested = false;
    relay.forward(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
    relay.end();
    sink.completeWrites();
    relay.readComplete();
    assertFalse(source.readRequested);
  }
}
