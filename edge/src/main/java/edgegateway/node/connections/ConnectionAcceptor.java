package edgegateway.node.connections;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
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
 * A listening socket. It accepts a few connections at a time, so that requests in flight go on.
 * When no descriptor is left it reports that, pauses, and tries again. All methods but {@link
 * #bind} and {@link #address} are for its event loop's thread.
 */
public final class ConnectionAcceptor {
  private static final EventLog LOG = EventLog.console();

  /** Half of the rejection slots of a small budget: each is read once before the next are taken. */
  private static final int MAX_ACCEPTS_PER_READ = 4;

  private static final int BACKLOG = 4096;

  /** How long the backlog waits without a descriptor or a place: short against a deadline. */
  private static final long PAUSE_MILLIS = 20;

  /** At a close the backlog is drained a few at a time for so long, and then all at once. */
  private static final long GRADUAL_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Long enough for the selector to run, which a task that is executed at once does not let. */
  private static final long NEXT_SELECT_DELAY_MILLIS = 1;

  private final EventLoop loop;
  private final Runnable onDescriptorsExhausted;
  private ServerSocketChannel serverSocket;
  private Channel serverChannel;
  private Future<?> pauseTimer;
  private boolean mayPause = true;

  /**
   * Listens to nothing yet.
   *
   * @param onDescriptorsExhausted run when no descriptor is left for a connection
   */
  public ConnectionAcceptor(EventLoop loop, Runnable onDescriptorsExhausted) {
    this.loop = loop;
    this.onDescriptorsExhausted = onDescriptorsExhausted;
  }

  /**
   * Begins to listen; any thread.
   *
   * @param shared whether other processes may listen at the same address
   * @param initializer adds the handlers of each connection
   * @return completes when it listens, or with the error
   */
  public CompletableFuture<Void> bind(
      InetSocketAddress address, boolean shared, Consumer<Channel> initializer) {
    CompletableFuture<Void> bound = new CompletableFuture<>();
    try {
      serverSocket = ServerSocketChannel.open();
    } catch (IOException e) {
      return CompletableFuture.failedFuture(e);
    }
    ServerBootstrap bootstrap = newBootstrap(initializer);
    if (shared) {
      // Both processes of an upgrade listen at this address.
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    bootstrap
        .bind(address)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  serverChannel = done.channel();
                  if (done.isSuccess()) {
                    bound.complete(null);
                  } else {
                    bound.completeExceptionally(done.cause());
                  }
                });
    return bound;
  }

  private ServerBootstrap newBootstrap(Consumer<Channel> initializer) {
    return new ServerBootstrap()
        .group(loop)
        .channelFactory(() -> new NioServerSocketChannel(serverSocket))
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        // A client that ended its side may still wait for its response.
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(new AcceptFailureHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initializer.accept(channel);
              }
            });
  }

  /** The address it listens at; any thread, once bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Whether it is bound and not closed. */
  public boolean isOpen() {
    return serverChannel != null && serverChannel.isOpen();
  }

  /**
   * Leaves new connections in the kernel's backlog for a moment, or until there is room. If there
   * is none by then, the next ones are accepted all the same: none may be left unheard there.
   */
  public void pauseAccepting() {
    if (mayPause) {
      pause();
    }
  }

  /** There is room for new connections. */
  public void resumeAccepting() {
    mayPause = true;
    resume();
  }

  private void pause() {
    if (pauseTimer == null && isOpen()) {
      serverChannel.config().setAutoRead(false);
      pauseTimer =
          loop.schedule(
              () -> {
                mayPause = false;
                resume();
              },
              PAUSE_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void resume() {
    if (pauseTimer != null && isOpen()) {
      pauseTimer.cancel(false);
      pauseTimer = null;
      serverChannel.config().setAutoRead(true);
    }
  }

  /**
   * Drains the backlog, then closes the socket. It is deregistered from its selector first: closed
   * while registered, it would go on queueing connections for a while.
   *
   * @param onClosed run when it is closed
   */
  public void close(Runnable onClosed) {
    if (serverChannel.isRegistered()) {
      long gradualUntil = System.nanoTime() + GRADUAL_DRAIN_NANOS;
      serverChannel.deregister().addListener(done -> drainBacklogAndClose(gradualUntil, onClosed));
    }
  }

  /**
   * The backlog is accepted right before the close, which would reset what is still in it. Shown by
   * ConnectionsTest#aSurgeInADrainAnswersEveryClient.
   */
  private void drainBacklogAndClose(long gradualUntil, Runnable onClosed) {
    List<SocketChannel> accepted = new ArrayList<>();
    boolean more = true;
    if (!serverSocket.isRegistered()) {
      boolean gradual = System.nanoTime() < gradualUntil;
      more = acceptBacklog(accepted, gradual ? MAX_ACCEPTS_PER_READ : Integer.MAX_VALUE);
    }
    if (!more) {
      closeSocket();
    }
    for (SocketChannel socket : accepted) {
      serverChannel.pipeline().fireChannelRead(new NioSocketChannel(serverChannel, socket));
    }
    if (more) {
      afterNextSelect(loop, () -> drainBacklogAndClose(gradualUntil, onClosed));
    } else {
      serverChannel.close().addListener(done -> onClosed.run());
    }
  }

  private void closeSocket() {
    try {
      serverSocket.close();
    } catch (IOException e) {
      LOG.warn("listener_close_failed", field("error", e));
    }
  }

  /** Accepts up to a number; false if the backlog is empty or no more can be accepted. */
  private boolean acceptBacklog(List<SocketChannel> accepted, int max) {
    try {
      while (accepted.size() < max) {
        SocketChannel next = serverSocket.accept();
        if (next == null) {
          return false;
        }
        accepted.add(next);
      }
      return true;
    } catch (IOException e) {
      // No descriptor is left: the close resets what is still in the backlog.
      onDescriptorsExhausted.run();
      return false;
    }
  }

  /**
   * Runs a task after the selector has run once more. By a timer: a task that is executed runs in
   * the same round of the loop as long as there are others.
   */
  public static void afterNextSelect(EventLoop loop, Runnable task) {
    loop.schedule(task, NEXT_SELECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Handles a failed accept before Netty's acceptor, which would pause for a whole second. */
  private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pause();
      onDescriptorsExhausted.run();
    }
  }
}
