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
 * A listening socket. It accepts a few connections per event loop iteration, so that requests in
 * flight are not delayed. When no file descriptor is left, it reports that and pauses before it
 * accepts again. All methods except {@link #bind} and {@link #address} are called on the event
 * loop's thread.
 */
public final class ConnectionAcceptor {
  private static final EventLog LOG = EventLog.console();

  /**
   * Half of the rejection slots of a small budget. Each accepted connection is read once before the
   * next ones are accepted.
   */
  private static final int MAX_ACCEPTS_PER_READ = 4;

  private static final int BACKLOG = 4096;

  /** Pause when descriptors or capacity are lacking; short compared with a request's deadline. */
  private static final long ACCEPT_PAUSE_MILLIS = 20;

  /** A close accepts the backlog in small batches for this long, then all that is left at once. */
  private static final long GRADUAL_DRAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** A delay after which the selector has run; an executed task may run before that. */
  private static final long NEXT_SELECT_DELAY_MILLIS = 1;

  private final EventLoop loop;
  private final Runnable onDescriptorsExhausted;
  private ServerSocketChannel serverSocket;
  private Channel serverChannel;
  private Future<?> resumeTimer;
  private boolean pauseAllowed = true;
  private int acceptedInRead;

  /** Whether connections may be waiting in the kernel's backlog. */
  private boolean backlogged;

  private long backloggedSinceNanos;

  /**
   * Creates an acceptor that is not bound yet.
   *
   * @param onDescriptorsExhausted run when no file descriptor is left for a connection
   */
  public ConnectionAcceptor(EventLoop loop, Runnable onDescriptorsExhausted) {
    this.loop = loop;
    this.onDescriptorsExhausted = onDescriptorsExhausted;
  }

  /**
   * Binds the socket and starts to listen. May be called on any thread.
   *
   * @param shared whether other processes may listen at the same address
   * @param initializer adds the handlers of each connection
   * @return completes when the socket listens, or exceptionally with the error
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
      // During an upgrade the old and the new process both listen at this address.
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
        // A client that shut down its output may still wait for its response.
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(new AcceptHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initializer.accept(channel);
              }
            });
  }

  /** The local address. May be called on any thread, once bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Whether the socket is bound and not closed. */
  public boolean isOpen() {
    return serverChannel != null && serverChannel.isOpen();
  }

  /** The earliest time at which a connection that is accepted now can have been opened. */
  public long openedAtNanos(long nowNanos) {
    return backlogged ? backloggedSinceNanos : nowNanos;
  }

  private void setBacklogged(boolean now) {
    if (now && !backlogged) {
      backloggedSinceNanos = System.nanoTime();
    }
    backlogged = now;
  }

  /**
   * Leaves new connections in the kernel's backlog for a short time, or until {@link
   * #resumeAccepting}. After that time connections are accepted even without capacity, and further
   * calls have no effect until {@link #resumeAccepting}: no client may be left in the backlog
   * without any reply.
   */
  public void pauseAccepting() {
    if (pauseAllowed) {
      pause();
    }
  }

  /** Resumes accepting, because there is capacity for new connections. */
  public void resumeAccepting() {
    pauseAllowed = true;
    resume();
  }

  private void pause() {
    if (resumeTimer == null && isOpen()) {
      serverChannel.config().setAutoRead(false);
      setBacklogged(true);
      resumeTimer =
          loop.schedule(
              () -> {
                pauseAllowed = false;
                resume();
              },
              ACCEPT_PAUSE_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void resume() {
    if (resumeTimer != null && isOpen()) {
      resumeTimer.cancel(false);
      resumeTimer = null;
      serverChannel.config().setAutoRead(true);
    }
  }

  /**
   * Drains the backlog, then closes the socket. The socket is deregistered from its selector first:
   * if closed while registered, it would go on queueing connections for some time.
   *
   * @param onClosed run when the socket is closed
   */
  public void close(Runnable onClosed) {
    if (serverChannel.isRegistered()) {
      long gradualUntilNanos = System.nanoTime() + GRADUAL_DRAIN_NANOS;
      serverChannel
          .deregister()
          .addListener(done -> drainBacklogAndClose(gradualUntilNanos, onClosed));
    }
  }

  /**
   * Accepts the backlog right before the close, because the close resets connections that are still
   * in the backlog. Tested by ConnectionsTest#aSurgeInADrainAnswersEveryClient.
   */
  private void drainBacklogAndClose(long gradualUntilNanos, Runnable onClosed) {
    List<SocketChannel> accepted = new ArrayList<>();
    boolean more = true;
    if (!serverSocket.isRegistered()) {
      boolean gradual = System.nanoTime() < gradualUntilNanos;
      more = acceptBacklog(accepted, gradual ? MAX_ACCEPTS_PER_READ : Integer.MAX_VALUE);
    }
    if (!more) {
      closeSocket();
    }
    for (SocketChannel socket : accepted) {
      serverChannel.pipeline().fireChannelRead(new NioSocketChannel(serverChannel, socket));
    }
    if (more) {
      afterNextSelect(loop, () -> drainBacklogAndClose(gradualUntilNanos, onClosed));
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

  /**
   * Accepts connections until the list holds the maximum; returns false if the backlog is empty or
   * no more connections can be accepted.
   */
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
      // No file descriptor is left: the close resets the connections still in the backlog.
      onDescriptorsExhausted.run();
      return false;
    }
  }

  /**
   * Runs a task after the selector has run once more. This takes a timer that is started by a task:
   * a task that is executed directly, and a timer that expires while the sockets are still being
   * read, may run in the same iteration of the event loop.
   */
  public static void afterNextSelect(EventLoop loop, Runnable task) {
    loop.execute(() -> loop.schedule(task, NEXT_SELECT_DELAY_MILLIS, TimeUnit.MILLISECONDS));
  }

  /**
   * Tells whether a read left connections in the backlog, and handles a failed accept instead of
   * Netty's acceptor, which would pause for one second.
   */
  private final class AcceptHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
      acceptedInRead++;
      context.fireChannelRead(accepted);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      setBacklogged(acceptedInRead >= MAX_ACCEPTS_PER_READ);
      acceptedInRead = 0;
      context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      pause();
      onDescriptorsExhausted.run();
    }
  }
}
