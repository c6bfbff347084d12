package edgegateway.testbed.fakes.http;

import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.fakes.FakeDiscoveryAgent;
import edgegateway.testbed.fakes.FakeDiscoveryWatch;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent of one edge node on sockets (protocol, Discovery). */
public final class DiscoveryHttpFake extends HttpFake {
  private static final String PATH = "/catalog/members";

  /** Hears what was written to the edge node, and when. */
  public interface History {
    /** On the loop; times are nanoseconds of the JVM's clock. */
    void wrote(long at, DiscoveryMessage roll);
  }

  private FakeDiscoveryAgent agent;
  private final History history;
  private final Map<Channel, FakeDiscoveryWatch> watches = new LinkedHashMap<>();

  /** The last one written, and its line: many watches get the same. */
  private DiscoveryMessage written;

  private ByteBuf line = Unpooled.EMPTY_BUFFER;

  /** Listens when it returns. */
  public DiscoveryHttpFake(
      EventLoop loop, InetSocketAddress at, DiscoveryMessage begin, History history)
      throws IOException {
    super(loop, at);
    this.history = history;
    agent = new FakeDiscoveryAgent(begin);
  }

  /** Discovery sends a change, which takes so many nanoseconds to the agent. */
  public void send(DiscoveryMessage change, long delay) {
    carry(() -> agent.send(System.nanoTime(), change, delay));
  }

  /**
   * It begins anew with this list, which keeps no changes: connections are reset, and each reader
   * of before takes it whole.
   */
  public void restart(DiscoveryMessage begin) {
    carry(
        () -> {
          agent = new FakeDiscoveryAgent(begin);
          watches.clear();
          reset();
        });
  }

  /** Whether discovery is down: the agent says nothing. */
  public void silent(boolean down) {
    carry(() -> agent.silenced(down));
  }

  @Override
  void request(PipelinedResponse to, FullHttpRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    if (!uri.path().equals(PATH)) {
      to.answer(HttpResponseStatus.NOT_FOUND, "");
      return;
    }
    long now = System.nanoTime();
    agent.advanceTo(now);
    if (uri.parameters().getOrDefault("watch", List.of()).equals(List.of("1"))) {
      DefaultHttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      to.channel().writeAndFlush(head);
      watches.put(to.channel(), new FakeDiscoveryWatch(agent, now, after(uri)));
    } else if (!agent.silenced()) {
      history.wrote(now, agent.fullList());
      to.answer(HttpResponseStatus.OK, agent.fullList().json());
    }
  }

  private static long after(QueryStringDecoder uri) {
    try {
      return Long.parseLong(uri.parameters().getOrDefault("after", List.of("")).get(0));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private ByteBuf line(DiscoveryMessage roll) {
    if (roll != written) {
      boolean nothing = roll.members().isEmpty() && !roll.complete();
      line = Unpooled.copiedBuffer((nothing ? "" : roll.json()) + "\n", StandardCharsets.UTF_8);
      written = roll;
    }
    return line.retainedDuplicate();
  }

  @Override
  void gone(Channel client) {
    watches.remove(client);
  }

  @Override
  long due(long now) {
    agent.advanceTo(now);
    long next = agent.silenced() ? Long.MAX_VALUE : agent.nextArrivalNanos();
    for (Map.Entry<Channel, FakeDiscoveryWatch> one : watches.entrySet()) {
      DiscoveryMessage roll = one.getValue().poll(now);
      if (roll != null) {
        history.wrote(now, roll);
        one.getKey().writeAndFlush(new DefaultHttpContent(line(roll)));
      }
      next = Math.min(next, one.getValue().nextLineDueNanos());
    }
    return next;
  }
}
