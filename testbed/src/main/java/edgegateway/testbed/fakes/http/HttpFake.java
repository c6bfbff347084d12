package edgegateway.testbed.fakes.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Where a stand-in listens, on one event loop that owns its core: whole requests in, answers out,
 * and a wake-up when the core wants to be asked. Like the real ones it may die: its connections are
 * reset, new ones refused.
 */
public abstract class HttpFake implements AutoCloseable {
  private static final int MOST_BODY = 1 << 16;

  private final EventLoop loop;
  private final ChannelGroup open;
  private final InetSocketAddress address;
  private final TrafficCounter traffic = new TrafficCounter();
  private ScheduledFuture<?> wake;
  private long wakeAt = Long.MAX_VALUE;

  /** Listens when it returns; a port of 0 takes any. */
  HttpFake(EventLoop loop, InetSocketAddress at) throws IOException {
    this.loop = loop;
    open = new DefaultChannelGroup(loop);
    var bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel client) {
                    if (!welcome(
                        (InetSocketAddress) client.remoteAddress(),
                        (InetSocketAddress) client.localAddress())) {
                      client.close();
                      return;
                    }
                    open.add(client);
                    client
                        .pipeline()
                        .addLast(
                            traffic.counter(),
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MOST_BODY),
                            new Requests());
                  }
                })
            .bind(at)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen at " + at, bound.cause());
    }
    open.add(bound.channel());
    address = (InetSocketAddress) bound.channel().localAddress();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** What went over its connections; any thread. */
  public TrafficCounter traffic() {
    return traffic;
  }

  /** A whole request came, on the loop; it is released afterwards. */
  abstract void request(PipelinedResponse to, FullHttpRequest request);

  /** Whether a connection is let in, on the loop. */
  boolean welcome(InetSocketAddress from, InetSocketAddress to) {
    return true;
  }

  /** A connection ended, on the loop. */
  void gone(Channel client) {}

  /** Asks the core what is due, on the loop, and answers; returns when to be asked next. */
  abstract long due(long now);

  /** Carries out a change of the core on the loop and then what is due; waits for it. */
  void carry(Runnable what) {
    loop.submit(
            () -> {
              what.run();
              turn();
            })
        .syncUninterruptibly();
  }

  /** Asks the core and sets the next wake-up; on the loop. */
  final void turn() {
    long next = due(System.nanoTime());
    if (next == wakeAt) {
      return;
    }
    if (wake != null) {
      wake.cancel(false);
      wake = null;
    }
    wakeAt = next;
    if (next != Long.MAX_VALUE) {
      wake =
          loop.schedule(
              () -> {
                wakeAt = Long.MAX_VALUE;
                turn();
              },
              Math.max(0, next - System.nanoTime()),
              TimeUnit.NANOSECONDS);
    }
  }

  /** Every connection is reset, on the loop; it goes on listening. */
  final void reset() {
    lingerNot();
    open.stream().filter(one -> !(one instanceof NioServerSocketChannel)).forEach(Channel::close);
  }

  private void lingerNot() {
    open.stream()
        .filter(one -> !(one instanceof NioServerSocketChannel))
        .forEach(one -> one.config().setOption(ChannelOption.SO_LINGER, 0));
  }

  /** Dies: every connection is reset, new ones are refused. */
  @Override
  public void close() {
    loop.submit(
            () -> {
              if (wake != null) {
                wake.cancel(false);
              }
              lingerNot();
            })
        .syncUninterruptibly();
    open.close().syncUninterruptibly();
    // A closed socket goes on listening until its selector looks next, which it does before a timer
    // runs.
    loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ArrayDeque<PipelinedResponse> line = new ArrayDeque<>();

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        context.close();
        return;
      }
      PipelinedResponse reply = new PipelinedResponse(context.channel(), line);
      line.add(reply);
      request(reply, request);
      turn();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      gone(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
