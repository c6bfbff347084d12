package edgegateway.testbed.fakes.http;

import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServer.Finished;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake.Call;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake.History;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * Thousands of archive servers behind one listening socket: each address of 127.0.0.0/8 that a
 * connection comes to is a warm server of its own, made at its first request.
 */
public final class ManyArchiveServersHttpFake extends HttpFake {
  private final FakeArchiveServerSettings terms;
  private final ToDoubleFunction<String> work;
  private final History history;
  private final Map<InetAddress, One> servers = new HashMap<>();

  /** Those that want to be asked, the first one first. */
  private final TreeSet<One> waiting =
      new TreeSet<>(
          Comparator.<One>comparingLong(one -> one.next).thenComparingInt(one -> one.number));

  private static final class One {
    private final int number;
    private final FakeArchiveServer<Call> core;
    private long next = Long.MAX_VALUE;

    One(int number, FakeArchiveServer<Call> core) {
      this.number = number;
      this.core = core;
    }
  }

  /**
   * Listens at any port of all addresses when it returns; who is not on this machine is not let in.
   *
   * @param work nanoseconds of a core for the request of an id
   */
  public ManyArchiveServersHttpFake(
      EventLoop loop,
      FakeArchiveServerSettings terms,
      ToDoubleFunction<String> work,
      History history)
      throws IOException {
    super(loop, new InetSocketAddress(0));
    this.terms = terms;
    this.work = work;
    this.history = history;
  }

  @Override
  boolean welcome(InetSocketAddress from, InetSocketAddress to) {
    return from.getAddress().isLoopbackAddress() && to.getAddress().isLoopbackAddress();
  }

  @Override
  void request(PipelinedResponse to, FullHttpRequest request) {
    String id = request.headers().get("X-Trace-Id");
    if (id == null) {
      to.answer(HttpResponseStatus.NOT_FOUND, "");
      return;
    }
    String key = request.headers().get("Idempotency-Key");
    long now = System.nanoTime();
    history.arrived(now, id, key);
    One at =
        servers.computeIfAbsent(
            ((InetSocketAddress) to.channel().localAddress()).getAddress(),
            address ->
                new One(
                    servers.size(),
                    new FakeArchiveServer<>(terms, now, now - terms.slowStartNanos())));
    at.core.receive(now, new Call(id, to), key, work.applyAsDouble(id));
    look(at, now);
  }

  /** Answers what has ended at one, and notes when it is to be asked next. */
  private void look(One at, long now) {
    waiting.remove(at);
    for (Finished<Call> one = at.core.poll(now); one != null; one = at.core.poll(now)) {
      history.ended(now, one.request().id(), one.completion());
      one.request().answer(one.completion());
    }
    at.next = at.core.nextEventNanos();
    if (at.next != Long.MAX_VALUE) {
      waiting.add(at);
    }
  }

  @Override
  long due(long now) {
    while (!waiting.isEmpty() && waiting.first().next <= now) {
      look(waiting.first(), now);
    }
    return waiting.isEmpty() ? Long.MAX_VALUE : waiting.first().next;
  }
}
