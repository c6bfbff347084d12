package edgegateway.node.operators;

import edgegateway.node.connections.ConnectionAcceptor;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Where operators call: a line in, an answer out, and the connection ends. It has a thread of its
 * own, so that a busy client loop makes no answer late: figures are read as they stand, and
 * commands go to that loop.
 */
public final class OperatorServer implements AutoCloseable {
  private static final int MAX_LINE_BYTES = 512;

  /** A caller that has not finished its call by then is cut off. */
  private static final int CALL_TIMEOUT_MILLIS = 5_000;

  private final OperatorCallHandler calls;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Open connections, the oldest first; for the one loop's thread. */
  private final Set<Channel> callers = new LinkedHashSet<>();

  private final ConnectionAcceptor listener;
  private final int maxCallers;

  /** Listens when it returns; not for an event loop's thread. */
  public OperatorServer(OperatorCommands node, InetSocketAddress at)
      throws InterruptedException, ExecutionException {
    calls = new OperatorCallHandler(node);
    maxCallers = node.maxOperatorConnections();
    listener = new ConnectionAcceptor(group.next(), node::descriptorsExhausted);
    listener
        .bind(
            at,
            false,
            channel ->
                channel
                    .pipeline()
                    .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                        new StringDecoder(StandardCharsets.UTF_8),
                        new StringEncoder(StandardCharsets.UTF_8),
                        new Call()))
        .get();
  }

  /** Where operators call. */
  public InetSocketAddress address() {
    return listener.address();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** One connection: its first line is its only one. */
  private final class Call extends SimpleChannelInboundHandler<String> {
    private boolean called;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      callers.add(context.channel());
      if (callers.size() > maxCallers) {
        callers.iterator().next().close();
      }
      context
          .executor()
          .schedule(() -> context.close(), CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
      if (!called) {
        called = true;
        calls
            .answer(line)
            .exceptionally(e -> OperatorCallHandler.refusal("failed: " + e.getMessage()))
            .thenAccept(text -> end(context, text));
      }
    }

    private void end(ChannelHandlerContext context, String text) {
      context.writeAndFlush(text).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent && !called) {
        called = true;
        end(context, OperatorCallHandler.refusal("no line"));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      callers.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A line that is too long, or a caller that left.
      if (called) {
        context.close();
      } else {
        called = true;
        end(context, OperatorCallHandler.refusal("not a line that can be read"));
      }
    }
  }
}
