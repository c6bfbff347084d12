package edgegateway.testbed.fakes.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What went over the connections of one stand-in: bytes that TCP carried, without its own headers.
 * Read on any thread.
 */
public final class TrafficCounter {
  private final AtomicLong in = new AtomicLong();
  private final AtomicLong out = new AtomicLong();
  private final AtomicLong opened = new AtomicLong();
  private final AtomicLong closed = new AtomicLong();
  private final AtomicLong cut = new AtomicLong();
  private volatile boolean cutting;

  /** Bytes from edge nodes so far. */
  public long in() {
    return in.get();
  }

  /** Bytes to edge nodes so far. */
  public long out() {
    return out.get();
  }

  /** Connections that were opened so far. */
  public long opened() {
    return opened.get();
  }

  /** Connections that are open now. */
  public long open() {
    return opened.get() - closed.get();
  }

  /** Answers that were cut so far. */
  public long cut() {
    return cut.get();
  }

  /** From now on each connection ends when half of its next answer is written, or no more. */
  public void cutting(boolean on) {
    cutting = on;
  }

  /** Counts one connection, as its first handler. */
  ChannelHandler counter() {
    return new ChannelDuplexHandler() {
      @Override
      public void channelActive(ChannelHandlerContext context) throws Exception {
        opened.incrementAndGet();
        super.channelActive(context);
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) throws Exception {
        closed.incrementAndGet();
        super.channelInactive(context);
      }

      @Override
      public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        in.addAndGet(((ByteBuf) message).readableBytes());
        super.channelRead(context, message);
      }

      @Override
      public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
          throws Exception {
        if (message instanceof ByteBuf bytes) {
          if (cutting && bytes.isReadable()) {
            cut.incrementAndGet();
            bytes.writerIndex(bytes.readerIndex() + bytes.readableBytes() / 2);
            promise.addListener(done -> context.close());
          }
          out.addAndGet(bytes.readableBytes());
        }
        super.write(context, message, promise);
      }
    };
  }
}
