package edgegateway.testbed.network;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The way from one party to another for TCP: whoever connects to its address reaches the other
 * party, under the conditions of each direction. A process that is gone is refused, one behind a
 * cut never answers.
 */
public final class TcpLink implements AutoCloseable {
  private static final int CONNECT_MS = 5_000;

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final Supplier<LinkConditions> there;
  private final Supplier<LinkConditions> back;
  private final SplittableRandom chance;
  private final Set<Pair> pairs = new LinkedHashSet<>();
  private final FaultyListener door;
  private boolean up = true;

  /**
   * Takes connections when it returns.
   *
   * @param at where it listens; a port of 0 takes any
   * @param target the real address behind it
   * @param there how the way to the target is now; asked on the loop
   * @param back how the way from the target is now; asked on the loop
   * @throws IOException if the address can't be had
   */
  public TcpLink(
      EventLoop loop,
      InetSocketAddress at,
      InetSocketAddress target,
      Supplier<LinkConditions> there,
      Supplier<LinkConditions> back,
      SplittableRandom chance)
      throws IOException {
    this.loop = loop;
    this.target = target;
    this.there = there;
    this.back = back;
    this.chance = chance;
    door =
        new FaultyListener(
            loop,
            at,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel client) {
                new Pair(client);
              }
            });
    changed();
  }

  /** Where the one party reaches the other. */
  public InetSocketAddress address() {
    return door.address();
  }

  /**
   * Whether the target's process runs: connections to one that does not are refused. Off the loop.
   */
  public void up(boolean runs) throws IOException {
    up = runs;
    changed();
  }

  /** To be called when the conditions have changed; off the loop, one call at a time. */
  public void changed() throws IOException {
    boolean cut = there.get().cut() || back.get().cut();
    door.be(
        cut
            ? FaultyListener.State.SILENT
            : up ? FaultyListener.State.TAKES : FaultyListener.State.REFUSES);
    loop.submit(() -> pairs.forEach(Pair::pump)).syncUninterruptibly();
  }

  /** Resets every connection that is open on it, at both ends; any thread. */
  public void reset() {
    loop.submit(() -> Set.copyOf(pairs).forEach(Pair::reset)).syncUninterruptibly();
  }

  @Override
  public void close() throws IOException {
    door.close();
    reset();
  }

  /** A connection and the one behind it. */
  private final class Pair {
    private final Channel client;
    private final LinkDirection forth;
    private LinkDirection home;
    private Channel server;

    Pair(Channel client) {
      this.client = client;
      pairs.add(this);
      forth = new LinkDirection(chance.split(), there, client, this::dial, this::ended);
      client.pipeline().addLast(new End(forth));
      // The channel is not registered yet: its first read waits for the connection behind it.
      loop.execute(forth::open);
    }

    private void dial() {
      var connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
              .option(ChannelOption.AUTO_READ, false)
              .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel made) {
                      server = made;
                      home =
                          new LinkDirection(chance.split(), back, made, () -> {}, Pair.this::ended);
                      made.pipeline().addLast(new End(home));
                    }
                  })
              .connect(target);
      connecting.addListener(
          done -> {
            if (!done.isSuccess() || !client.isOpen()) {
              reset();
              return;
            }
            forth.into(server);
            home.into(client);
          });
    }

    void pump() {
      forth.pump();
      if (home != null) {
        home.pump();
      }
    }

    private void ended() {
      if (forth.wasReset() || home != null && home.wasReset()) {
        reset();
      } else if (forth.ended() && home != null && home.ended()) {
        finish();
      }
    }

    void reset() {
      for (Channel end : new Channel[] {client, server}) {
        if (end != null && end.isOpen()) {
          end.config().setOption(ChannelOption.SO_LINGER, 0);
        }
      }
      finish();
    }

    private void finish() {
      if (!pairs.remove(this)) {
        return;
      }
      client.close();
      forth.drop();
      if (server != null) {
        server.close();
        home.drop();
      }
    }

    /** What happens at one end of the connection. */
    private final class End extends ChannelInboundHandlerAdapter {
      private final LinkDirection from;
      private boolean over;

      End(LinkDirection from) {
        this.from = from;
      }

      @Override
      public void channelRead(ChannelHandlerContext context, Object bytes) {
        from.read((ByteBuf) bytes);
      }

      @Override
      public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !over) {
          over = true;
          from.sourceEnded();
        }
      }

      @Override
      public void channelWritabilityChanged(ChannelHandlerContext context) {
        pump();
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        if (pairs.contains(Pair.this) && !over) {
          over = true;
          if (home == null) {
            reset();
          } else {
            from.sourceReset();
          }
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
      }
    }
  }
}
