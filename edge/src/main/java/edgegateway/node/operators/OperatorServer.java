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
 * Accepts operators' connections. Each connection carries one call, which is a line of text, and
 * its answer, and is then closed. A separate event loop keeps answers from being delayed by a busy
 * client loop: metrics are read on the thread of this server, and only commands and the zone report
 * are passed to the client loop.
 */
public final class OperatorServer implements AutoCloseable {
  private static final int MAX_LINE_BYTES = 512;

  /** Time after which a connection is closed even if its call has not finished. */
  private static final int CALL_TIMEOUT_MILLIS = 5_000;

  private final OperatorCallHandler callHandler;
  private final EventLoopGroup loopGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Open connections, oldest first; used only on the event loop. */
  private final Set<Channel> connections = new LinkedHashSet<>();

  private final ConnectionAcceptor listener;
  private final int maxConnections;

  /** Starts listening and waits until the socket is bound; must not run on an event loop. */
  public OperatorServer(OperatorCommands node, InetSocketAddress listenAddress)
      throws InterruptedException, ExecutionException {
    callHandler = new OperatorCallHandler(node);
    maxConnections = node.maxOperatorConnections();
    listener = new ConnectionAcceptor(loopGroup.next(), node::descriptorsExhausted);
    listener
        .bind(
            listenAddress,
            false,
            channel ->
                channel
                    .pipeline()
                    .addLast(
                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                        new StringDecoder(StandardCharsets.UTF_8),
                        new StringEncoder(StandardCharsets.UTF_8),
                        new ConnectionHandler()))
        .get();
  }

  /** Address of the listening socket. */
  public InetSocketAddress address() {
    return listener.address();
  }

  @Override
  public void close() {
    loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Handles one connection: answers the first line and ignores all others. */
  private final class ConnectionHandler extends SimpleChannelInboundHandler<String> {
    private boolean answering;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
      if (connections.size() > maxConnections) {
        connections.iterator().next().close();
      }
      context
          .executor()
          .schedule(() -> context.close(), CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
      if (!answering) {
        answering = true;
        callHandler
            .answer(line)
            .exceptionally(e -> OperatorCallHandler.negativeAnswer("failed: " + e.getMessage()))
            .thenAccept(text -> answerAndClose(context, text));
      }
    }

    private void answerAndClose(ChannelHandlerContext context, String text) {
      context.writeAndFlush(text).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent && !answering) {
        answering = true;
        answerAndClose(context, OperatorCallHandler.negativeAnswer("no line"));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The line was too long or the operator closed the connection.
      if (answering) {
        context.close();
      } else {
        answering = true;
        answerAndClose(context, OperatorCallHandler.negativeAnswer("not a line that can be read"));
      }
    }
  }
}
