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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Where operators call: a line in, an answer out, and the connection ends. It has a thread of its
 * own, so that a busy client loop makes no answer late: figures are read as they stand, and
 * commands go to that loop.
 */
public final class OperatorServer implements AutoCloseable {
  private static final int MOST_LINE = 512;
  private static final int CALL_MS = 5_000;
  private static final Set<String> NAMED = Set.of("set-down", "set-up", "zone-out", "zone-in");
  private static final Pattern SECONDS = Pattern.compile("[1-9][0-9]{0,3}");
  private static final String YES = "ACK\n";
  private static final String NO = "NAK ";

  private final OperatorCommands node;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Open connections, the oldest first; told on the one loop only. */
  private final Set<Channel> callers = new LinkedHashSet<>();

  private final ConnectionAcceptor listener;
  private final int callersAtOnce;

  /** Listens when it returns. */
  public OperatorServer(OperatorCommands node, InetSocketAddress at)
      throws InterruptedException, ExecutionException {
    this.node = node;
    callersAtOnce = node.maxOperatorConnections();
    listener = new ConnectionAcceptor(group.next(), node::descriptorsExhausted);
    listener
        .bind(
            at,
            false,
            channel ->
                channel
                    .pipeline()
                    .addLast(
                        new LineBasedFrameDecoder(MOST_LINE),
                        new StringDecoder(StandardCharsets.UTF_8),
                        new StringEncoder(StandardCharsets.UTF_8),
                        new Call()))
        .get();
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** The answer to a line; commands are carried out before it. */
  private CompletableFuture<String> answer(String line) {
    String[] words = line.strip().split("\\s+");
    if (words[0].equals("zone-in") && words.length == 3 && SECONDS.matcher(words[2]).matches()) {
      return node.setZoneEjected(words[1], false, Long.parseLong(words[2]))
          .thenApply(OperatorServer::said);
    }
    boolean named = NAMED.contains(words[0]);
    if (words.length != (named ? 2 : 1)) {
      return CompletableFuture.completedFuture(
          NO
              + (named
                  ? "one name is wanted, and after zone-in's 1 to 9999 seconds or none\n"
                  : "no such call\n"));
    }
    return switch (words[0]) {
      case "check" ->
          CompletableFuture.completedFuture(node.ready() ? YES : NO + "takes no clients now\n");
      case "vars" -> CompletableFuture.completedFuture(node.metricsText() + "--\n");
      case "set-down" -> node.setEndpointEjected(words[1], true).thenApply(OperatorServer::said);
      case "set-up" -> node.setEndpointEjected(words[1], false).thenApply(OperatorServer::said);
      case "zones" -> node.zoneReport().thenApply(text -> text + "--\n");
      case "zone-out" -> node.setZoneEjected(words[1], true, 0).thenApply(OperatorServer::said);
      case "zone-in" -> node.setZoneEjected(words[1], false, 0).thenApply(OperatorServer::said);
      case "drain-on" -> node.drain(true).thenApply(OperatorServer::said);
      case "drain-off" -> node.drain(false).thenApply(OperatorServer::said);
      default -> CompletableFuture.completedFuture(NO + "no such call\n");
    };
  }

  /** A command's outcome: null is a yes, else it tells why not. */
  private static String said(String why) {
    return why == null ? YES : NO + why + "\n";
  }

  /** One connection: its first line is its only one. */
  private final class Call extends SimpleChannelInboundHandler<String> {
    private boolean called;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      callers.add(context.channel());
      if (callers.size() > callersAtOnce) {
        callers.iterator().next().close();
      }
      context.executor().schedule(() -> context.close(), CALL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, String line) {
      if (!called) {
        called = true;
        answer(line)
            .exceptionally(e -> NO + "failed: " + e.getMessage() + "\n")
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
        end(context, NO + "no line\n");
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
        end(context, NO + "not a line that can be read\n");
      }
    }
  }
}
