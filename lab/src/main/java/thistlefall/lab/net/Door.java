package thistlefall.lab.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A listening address whose manners change: it takes connections, refuses them, or lets none come up. */
final class Door implements AutoCloseable {
    /** What happens to whoever connects. */
    enum State { TAKES, REFUSES, SILENT }

    private static final int LINE = 1_024;

    private final ServerBootstrap bootstrap;
    private InetSocketAddress at;
    private State state = State.REFUSES;
    private Channel listening;
    private DeafListener deaf;

    Door(EventLoop loop, InetSocketAddress at, ChannelHandler visitors) {
        this.at = at;
        bootstrap = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, LINE)
            .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(visitors);
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
        if (next == State.TAKES) {
            var bound = bootstrap.bind(at).awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new IOException("cannot listen at " + at, bound.cause());
            }
            listening = bound.channel();
            at = (InetSocketAddress) listening.localAddress();
        } else if (next == State.SILENT) {
            deaf = new DeafListener(at);
        }
        state = next;
    }

    @Override
    public void close() throws IOException {
        be(State.REFUSES);
    }
}
