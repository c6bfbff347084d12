package edgegateway.testbed.network;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A listening address whose manners change: it takes connections, refuses them, or lets none come
 * up.
 */
final class FaultyListener implements AutoCloseable {
  /** What happens to whoever connects. */
  enum State {
    TAKES,
    REFUSES,
    SILENT
  }

  private static final int LINE = 1_024;

  /**
   * A selector ends a closed listener only at its next turn; until then the kernel goes on taking
   * connections.
   */
  private static final int TRIES = 2_000;

  private static final int BETWEEN_MS = 5;

  private final ServerBootstrap bootstrap;
  private InetSocketAddress at;
  private State state = State.REFUSES;
  private Channel listening;
  private UnresponsiveListener deaf;

  FaultyListener(EventLoop loop, InetSocketAddress at, ChannelHandler visitors) {
    this.at = at;
    bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, LINE)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(visitors);
  }

  /** Where it is; a port of 0 is known only once it has taken connections. */
  InetSocketAddress address() {
    return at;
  }

  /**
   * Changes its manners; off the loop, and one call at a time.
   *
   * @throws IOException if the address can't be had
   */
  void be(State next) throws IOException {
    if (next == state) {
      return;
    }
    if (listening != null) {
      listening.close().syncUninterruptibly();
      listening = null;
    }
    if (deaf != null) {
      deaf.close();
      deaf = null;
    }
    state = State.REFUSES;
    for (int left = TRIES;
        !(next == State.REFUSES ? free(left == 1) : bind(next, left == 1));
        left--) {
      try {
        Thread.sleep(BETWEEN_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted before it could listen at " + at, e);
      }
    }
    state = next;
  }

  /** Whether the address could be had; one that can't is an error only the {@code last} time. */
  private boolean bind(State as, boolean last) throws IOException {
    try {
      if (as == State.SILENT) {
        deaf = new UnresponsiveListener(at);
      } else {
        var bound = bootstrap.bind(at).awaitUninterruptibly();
        if (!bound.isSuccess()) {
          throw new BindException(bound.cause().getMessage());
        }
        listening = bound.channel();
        at = (InetSocketAddress) listening.localAddress();
      }
      return true;
    } catch (BindException e) {
      if (last) {
        throw new IOException("cannot listen at " + at, e);
      }
      return false;
    }
  }

  /**
   * Whether nobody listens there any more; somebody who still does is an error only the {@code
   * last} time.
   */
  private boolean free(boolean last) throws IOException {
    try (Socket probe = new Socket()) {
      probe.setReuseAddress(true);
      probe.bind(at);
      return true;
    } catch (BindException e) {
      if (last) {
        throw new IOException("still listening at " + at, e);
      }
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    be(State.REFUSES);
  }
}
