package edgegateway.node.connections;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A listening socket. It takes a few connections at a time, so that what is in hand goes on;
 * without a descriptor left it tells so, waits a moment and tries again. All but {@link #bind} is
 * for its loop's thread.
 */
public final class ConnectionAcceptor {
  /** So few that each has been read once before the second next lot: half of a small lane. */
  private static final int AT_ONCE = 4;

  private static final int BACKLOG = 4096;

  /**
   * How long the kernel's line has to wait where there is no descriptor or no place: short against
   * a deadline.
   */
  private static final long PAUSE_MS = 20;

  /** For so long the kernel's line is emptied some at a time; after that all at once. */
  private static final long EMPTYING = TimeUnit.MILLISECONDS.toNanos(300);

  private final EventLoop loop;
  private final Runnable exhausted;
  private ServerSocketChannel socket;
  private Channel listening;
  private Future<?> paused;
  private boolean patient = true;

  /** {@code exhausted} is run when no descriptor is left for a connection. */
  public ConnectionAcceptor(EventLoop loop, Runnable exhausted) {
    this.loop = loop;
    this.exhausted = exhausted;
  }

  /** Listens; each connection gets its handlers by {@code made}. */
  public CompletableFuture<Void> bind(
      InetSocketAddress at, boolean shared, Consumer<Channel> made) {
    CompletableFuture<Void> bound = new CompletableFuture<>();
    try {
      socket = ServerSocketChannel.open();
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(() -> new NioServerSocketChannel(socket))
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(AT_ONCE))
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            // Who ends its sending may wait for its answer.
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .handler(new Accepting())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    made.accept(channel);
                  }
                });
    if (shared) {
      // Both processes of an upgrade listen at this address.
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    bootstrap
        .bind(at)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  listening = done.channel();
                  if (done.isSuccess()) {
                    bound.complete(null);
                  } else {
                    bound.completeExceptionally(done.cause());
                  }
                });
    return bound;
  }

  /** Where it listens; any thread, once bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** Whether it is bound and not closed. */
  public boolean open() {
    return listening != null && listening.isOpen();
  }

  /**
   * Newcomers wait in the kernel's line for a moment, or until there is room. If that moment
   * brought none, the next ones are taken all the same: nobody may be left unheard there.
   */
  public void awaitRoom() {
    if (patient) {
      pause();
    }
  }

  /** There is room for newcomers. */
  public void roomAgain() {
    patient = true;
    resume();
  }

  private void pause() {
    if (paused == null && open()) {
      listening.config().setAutoRead(false);
      paused =
          loop.schedule(
              () -> {
                patient = false;
                resume();
              },
              PAUSE_MS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void resume() {
    if (paused != null && open()) {
      paused.cancel(false);
      paused = null;
      listening.config().setAutoRead(true);
    }
  }

  /**
   * Takes the socket from its selector first: its close would else leave it queueing for a while.
   */
  public void close(Runnable closed) {
    if (listening.isRegistered()) {
      long until = System.nanoTime() + EMPTYING;
      listening.deregister().addListener(done -> emptyAndClose(until, closed));
    }
  }

  /**
   * Nobody may be left in the kernel's line: what it holds is accepted, some at a time, right
   * before the close.
   */
  private void emptyAndClose(long until, Runnable closed) {
    List<SocketChannel> last = new ArrayList<>();
    boolean more = true;
    if (!socket.isRegistered()) {
      more = accept(last, System.nanoTime() < until ? AT_ONCE : Integer.MAX_VALUE);
    }
    if (!more) {
      try {
        socket.close();
      } catch (IOException e) {
        System.err.println("the end of listening: " + e);
      }
    }
    last.forEach(
        next -> listening.pipeline().fireChannelRead(new NioSocketChannel(listening, next)));
    if (more) {
      afterNextSelect(loop, () -> emptyAndClose(until, closed));
    } else {
      listening.close().addListener(done -> closed.run());
    }
  }

  /** Accepts so many at the most; false if nobody is left or can be taken. */
  private boolean accept(List<SocketChannel> into, int most) {
    try {
      while (into.size() < most) {
        SocketChannel next = socket.accept();
        if (next == null) {
          return false;
        }
        into.add(next);
      }
      return true;
    } catch (IOException e) {
      // No descriptor is left: who is still in line is reset by the close.
      exhausted.run();
      return false;
    }
  }

  /**
   * A task that is executed runs in the same round of the loop as long as there are others: a timer
   * does not.
   */
  public static void afterNextSelect(EventLoop loop, Runnable task) {
    loop.schedule(task, 1, TimeUnit.MILLISECONDS);
  }

  /** Stands before Netty's own acceptor, which would wait for a whole second. */
  private final class Accepting extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pause();
      exhausted.run();
    }
  }
}
