package edgegateway.testbed.fakes.http;

import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServer.Finished;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * An archive server on sockets (protocol, Edge nodes to archive servers). Each instance is one run
 * of its process.
 */
public final class ArchiveServerHttpFake extends HttpFake {
  /**
   * Hears each request that arrived whole and how it ended, on the port's loop: the judge's
   * history.
   */
  public interface History {
    /** Request {@code id} arrived, with this key or null. */
    void arrived(long at, String id, String key);

    /** The request's answer is written. */
    void ended(long at, String id, FakeArchiveServer.Completion how);
  }

  /** A request and the place of its answer. */
  record Call(String id, PipelinedResponse reply) {
    void answer(FakeArchiveServer.Completion how) {
      switch (how) {
        case SERVED, DEDUPLICATED -> reply.answer(HttpResponseStatus.OK, id);
        case FAILED -> reply.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
        case REJECTED ->
            reply.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "", "X-Never-Ran", "1");
      }
    }
  }

  private final FakeArchiveServer<Call> core;
  private final ToDoubleFunction<String> work;
  private final History history;

  /**
   * Listens when it returns.
   *
   * @param startedAt since when it is warming, in nanoseconds of the JVM's clock
   * @param work nanoseconds of a core for the request of an id
   */
  public ArchiveServerHttpFake(
      EventLoop loop,
      InetSocketAddress at,
      FakeArchiveServerSettings terms,
      long startedAt,
      ToDoubleFunction<String> work,
      History history)
      throws IOException {
    super(loop, at);
    core = new FakeArchiveServer<>(terms, System.nanoTime(), startedAt);
    this.work = work;
    this.history = history;
  }

  /** Carries out a fault on its core, on its loop. */
  public void on(Consumer<FakeArchiveServer<?>> what) {
    carry(() -> what.accept(core));
  }

  /**
   * When it was pushed over, in nanoseconds of the JVM's clock; {@link Long#MAX_VALUE} if it was
   * not.
   */
  public long fellAt() {
    long[] at = new long[1];
    carry(() -> at[0] = core.overloadedAtNanos());
    return at[0];
  }

  /** The most of what it may be sent while cold that it was sent, as a share. */
  public double pressure() {
    double[] pressure = new double[1];
    carry(() -> pressure[0] = core.warmUpPressure());
    return pressure[0];
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
    core.receive(now, new Call(id, to), key, work.applyAsDouble(id));
  }

  @Override
  long due(long now) {
    for (Finished<Call> one = core.poll(now); one != null; one = core.poll(now)) {
      Call call = one.request();
      history.ended(now, call.id, one.completion());
      call.answer(one.completion());
    }
    return core.nextEventNanos();
  }
}
