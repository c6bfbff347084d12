package edgegateway.testbed.fakes.http;

import edgegateway.testbed.fakes.FakeCounter;
import edgegateway.testbed.fakes.FakeCounter.Reply;
import edgegateway.testbed.fakes.FakeCounterSettings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** The shared counter on sockets (protocol, The counter). */
public final class CounterHttpFake extends HttpFake {
  private static final String PATH = "/tally/";
  private static final int MOST_NAME = 64;
  private static final double MOST_AMOUNT = 1e9;
  private static final long MS = 1_000_000L;

  /** A total is exact to seven digits. */
  private static final MathContext DIGITS = new MathContext(7);

  /** Hears how calls end, on the port's loop. */
  public interface History {
    /**
     * A call was answered so many nanoseconds after it came; {@code added} is false if it was
     * turned away.
     */
    void answered(long took, boolean added);
  }

  private record Call(long at, PipelinedResponse reply) {}

  private final FakeCounter<Call> core;
  private final History history;
  private final AtomicLong calls = new AtomicLong();

  /** Listens when it returns; it begins empty. */
  public CounterHttpFake(EventLoop loop, InetSocketAddress at, FakeCounterSettings terms)
      throws IOException {
    this(loop, at, terms, (took, added) -> {});
  }

  /** The same, with somebody who hears how calls end. */
  public CounterHttpFake(
      EventLoop loop, InetSocketAddress at, FakeCounterSettings terms, History history)
      throws IOException {
    super(loop, at);
    this.history = history;
    core = new FakeCounter<>(terms, System.nanoTime());
  }

  /** How many calls came so far; any thread. */
  public long calls() {
    return calls.get();
  }

  /** Carries out a fault or a question on its core, on its loop. */
  public void on(Consumer<FakeCounter<?>> what) {
    carry(() -> what.accept(core));
  }

  @Override
  void request(PipelinedResponse to, FullHttpRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    String name = uri.rawPath().startsWith(PATH) ? uri.rawPath().substring(PATH.length()) : "";
    double amount = number(uri.parameters().get("n"));
    double life = number(uri.parameters().get("keep_ms"));
    if (request.method() != HttpMethod.POST
        || name.isEmpty()
        || name.length() > MOST_NAME
        || !(Math.abs(amount) <= MOST_AMOUNT)
        || !(life >= 1)) {
      to.answer(HttpResponseStatus.BAD_REQUEST, "");
      return;
    }
    calls.incrementAndGet();
    long now = System.nanoTime();
    core.call(
        now, new Call(now, to), name, amount, (long) Math.min(life, Long.MAX_VALUE / MS) * MS);
  }

  private static double number(List<String> values) {
    try {
      return values == null ? Double.NaN : Double.parseDouble(values.get(0));
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  @Override
  long due(long now) {
    for (Reply<Call> one = core.poll(now); one != null; one = core.poll(now)) {
      history.answered(now - one.call().at, one.total() != null);
      if (one.total() == null) {
        one.call().reply.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      } else {
        one.call()
            .reply
            .answer(
                HttpResponseStatus.OK, new BigDecimal(one.total()).round(DIGITS).toPlainString());
      }
    }
    return core.nextEventNanos();
  }
}
