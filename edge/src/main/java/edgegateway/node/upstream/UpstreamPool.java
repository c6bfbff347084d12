package edgegateway.node.upstream;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.connections.OutboundConnector;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.connections.TransportHandle;
import edgegateway.node.connections.UpstreamConnectionTable;
import edgegateway.node.connections.UpstreamConnectionTable.Failure;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics;
import edgegateway.node.requests.AttemptListener;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.RequestClass;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The app servers' side: attempts on connections, one at a time on each, and their outcomes. Which
 * connection an attempt goes by, and whether a new one is made, is for {@link
 * UpstreamConnectionTable}.
 */
public final class UpstreamPool implements UpstreamConnectionTable.Host {
  private static final EventLog LOG = EventLog.console();

  /** The longest body that is held whole. */
  public static final int MOST_BODY = 64 * 1024;

  private static final int FIRST_PIECE = 512;

  /** No read takes more: what is decoded of one read is passed on before the next. */
  private static final int MOST_READ = 32 * 1024;

  private static final long MS = 1_000_000L;
  private static final long SWEEP = 1_000 * MS;

  /** What a request may need from its first byte here to its last byte there. */
  private static final long ON_THE_WAY = 20 * MS;

  /**
   * So often the client of one attempt is asked whether it is still there: a loop that stands still
   * all the time goes on.
   */
  private static final int MOST_ASKED = 2;

  private final AttemptListener listener;
  private final NodeMetrics metrics;
  private final BufferedBodies bufferedBodies;
  private final BodyRelay.Group relays;
  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<String, Listed> listed = new HashMap<>();
  private final UpstreamConnectionTable servers;
  private final long coldSpan;
  private final List<RequestClass> classes;

  public UpstreamPool(
      AttemptListener listener,
      EventLoop loop,
      NodeConfig config,
      ConnectionMetrics connectionMetrics,
      NodeMetrics metrics,
      BufferedBodies bufferedBodies,
      BodyRelay.Group relays) {
    this.listener = listener;
    this.metrics = metrics;
    this.bufferedBodies = bufferedBodies;
    this.relays = relays;
    this.loop = loop;
    coldSpan = config.settings().rules().slowStartNanos();
    classes = config.settings().requestClasses();
    servers =
        new UpstreamConnectionTable(this, connectionMetrics, config.seed(), config.keepAlive());
    bootstrap =
        new Bootstrap()
            .group(loop)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, reads())
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.max(1, config.connectTimeout() / MS))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(handlers());
                  }
                });
    loop.scheduleAtFixedRate(
        () -> servers.sweep(System.nanoTime()), SWEEP, SWEEP, TimeUnit.NANOSECONDS);
  }

  /** How much is read at once. */
  static RecvByteBufAllocator reads() {
    return new AdaptiveRecvByteBufAllocator(64, 2048, MOST_READ);
  }

  /** What stands on a connection to an app server. */
  public ChannelHandler[] handlers() {
    StrictHttpResponseDecoder decoder = new StrictHttpResponseDecoder();
    return new ChannelHandler[] {new HttpRequestEncoder(), decoder, new Connection(decoder)};
  }

  /** Takes over an open connection that has these handlers. */
  public void lend(String server, Channel channel) {
    Connection made = channel.pipeline().get(Connection.class);
    made.begin(listed.get(server).target.lend(System.nanoTime()));
  }

  /**
   * What the list says of an app server, and the connections to it: a restart or a move makes new
   * ones.
   */
  private record Listed(NodeConfig.EndpointEntry member, UpstreamConnectionTable.Upstream target) {
    boolean same(NodeConfig.EndpointEntry other) {
      return member.address().equals(other.address())
          && member.endpoint().startedAtNanos() == other.endpoint().startedAtNanos()
          && ready() == (other.endpoint().state() == EndpointState.READY);
    }

    boolean ready() {
      return member.endpoint().state() == EndpointState.READY;
    }
  }

  /**
   * Follows the list: connections to what is gone, has moved or has restarted are of no more use.
   * Nor are those to what leaves: whoever waits for one would be sent to it after it was told.
   */
  public void update(NodeConfig.EndpointList roll, boolean whole) {
    Set<String> named = new HashSet<>();
    for (NodeConfig.EndpointEntry member : roll.entries()) {
      String id = member.endpoint().id();
      named.add(id);
      Listed known = listed.get(id);
      boolean gone = member.endpoint().state() == EndpointState.REMOVED;
      boolean same = known != null && known.same(member);
      if (known != null && (gone || !same)) {
        known.target.retire();
        listed.remove(id);
      }
      if (!gone && !same) {
        long started = member.endpoint().startedAtNanos();
        boolean cold = started > 0 && listener.nowNanos() - started < coldSpan;
        Listed next = new Listed(member, servers.add(member.address(), cold));
        listed.put(id, next);
        if (!next.ready()) {
          next.target.retire();
        }
      }
    }
    if (whole) {
      listed
          .entrySet()
          .removeIf(
              entry -> {
                boolean left = !named.contains(entry.getKey());
                if (left) {
                  entry.getValue().target.retire();
                }
                return left;
              });
    }
  }

  /** Begins an attempt; its outcome is told later, never from within this call. */
  public void send(InFlightRequest of, String server, long patience) {
    Listed to = listed.get(server);
    Attempt attempt = new Attempt(of, server, patience, to == null ? null : to.target);
    of.withdrawal = attempt::withdraw;
    if (to == null) {
      attempt.none(true);
      return;
    }
    attempt.expiry = loop.schedule(attempt::expire, patience, TimeUnit.NANOSECONDS);
    to.target.want(System.nanoTime(), attempt);
  }

  /** Follows a new budget. */
  public void bound(DescriptorBudget budget) {
    servers.bound(budget);
  }

  /** How many servers the list holds. */
  public int listed() {
    return listed.size();
  }

  /**
   * What still waits for a connection to this server is sent to it no more, and its idle
   * connections go.
   */
  public void leaveOut(String server) {
    Listed known = listed.get(server);
    if (known != null) {
      known.target.clear();
    }
  }

  @Override
  public void connect(UpstreamConnectionTable.UpstreamConnection link) {
    ChannelFuture connecting;
    try {
      connecting =
          OutboundConnector.connect(bootstrap, (InetSocketAddress) link.target().address());
    } catch (IOException e) {
      LOG.warn("upstream_connection_not_opened", field("error", e));
      loop.execute(() -> link.failed(System.nanoTime(), Failure.OWN));
      return;
    }
    Channel channel = connecting.channel();
    link.carrier(channel::close);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            channel.pipeline().get(Connection.class).begin(link);
            link.connected(System.nanoTime());
          } else {
            boolean silent = done.cause() instanceof ConnectTimeoutException;
            link.failed(System.nanoTime(), silent ? Failure.SILENT : Failure.REFUSED);
          }
        });
  }

  @Override
  public void later(UpstreamConnectionTable.Upstream target, long span) {
    loop.schedule(() -> target.look(System.nanoTime()), span, TimeUnit.NANOSECONDS);
  }

  /** One sending of a request to an app server; it ends exactly once. */
  private final class Attempt implements UpstreamConnectionTable.ConnectionWaiter {
    private final InFlightRequest of;
    private final String server;
    private final long patience;
    private final UpstreamConnectionTable.Upstream target;
    private long sentAt = System.nanoTime();

    /** Whether a long answer is passed on: for the module the attempt was over when that began. */
    private boolean passed;

    private boolean written;
    private boolean over;

    /**
     * What it may go by, while its client is asked whether it is still there; and how often that
     * was.
     */
    private UpstreamConnectionTable.UpstreamConnection kept;

    private int asked;

    /** From then on it may not begin: its repeat could run once more, or nobody waits for it. */
    private final long lastBegin;

    private Connection on;
    private Future<?> expiry;

    Attempt(
        InFlightRequest of, String server, long patience, UpstreamConnectionTable.Upstream target) {
      this.of = of;
      this.server = server;
      this.patience = patience;
      this.target = target;
      RequestClass spec = classes.get(of.request.requestClass());
      boolean repeat =
          of.mayHaveRunSince != Long.MIN_VALUE && spec.idempotency() == Idempotency.KEYED;
      lastBegin =
          Math.min(
              sentAt + patience,
              repeat
                  ? of.mayHaveRunSince + spec.idempotencyKeyWindowNanos() - ON_THE_WAY
                  : Long.MAX_VALUE);
    }

    @Override
    public void use(UpstreamConnectionTable.UpstreamConnection link) {
      if (link.target().retired() || System.nanoTime() - lastBegin >= 0) {
        // Its server leaves; the loop stood still, or the timer for it comes next.
        end(Outcome.NOT_SENT, 0, null);
        link.free(System.nanoTime());
      } else if (asked < MOST_ASKED && !of.clientSeen()) {
        asked++;
        kept = link;
        of.askClient(this::goOn);
      } else {
        ((Connection) link.carrier()).write(this);
      }
    }

    private void goOn() {
      UpstreamConnectionTable.UpstreamConnection link = kept;
      kept = null;
      if (link != null) {
        use(link);
      }
    }

    /** Nobody waits for it any more. */
    void withdraw() {
      if (on == null) {
        end(Outcome.NOT_SENT, 0, null);
      }
    }

    @Override
    public void none(boolean own) {
      loop.execute(() -> end(own ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, 0, null));
    }

    /** An app server begins a request with its last byte: before that it cannot have run. */
    void broke() {
      end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, 0, null);
    }

    void expire() {
      if (on != null && !written && of.upload != null) {
        // An app server begins with the last byte: the time for its answer has not begun.
        return;
      }
      Connection used = on;
      if (written) {
        used.link.timedOut(System.nanoTime());
      }
      if (used != null) {
        // Before its end is told: another attempt may begin then, and two may not be out.
        used.close();
      }
      end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
    }

    void end(Outcome outcome, double units, ByteBuf body) {
      if (over) {
        return;
      }
      over = true;
      of.withdrawal = null;
      if (!outcome.provesNotExecuted() && of.mayHaveRunSince == Long.MIN_VALUE) {
        of.mayHaveRunSince = sentAt;
      }
      if (expiry != null) {
        expiry.cancel(false);
      }
      if (on != null) {
        on.attempt = null;
      } else if (kept != null) {
        kept.free(System.nanoTime());
        kept = null;
      } else if (target != null) {
        target.cancel(this);
      }
      if (of.upload != null) {
        of.upload.leave();
      }
      if (!passed) {
        listener.attemptEnded(of, outcome, System.nanoTime() - sentAt, server, units, body);
      }
    }

    /** The last byte is written. */
    void sent() {
      written = true;
      metrics.tried();
      if (of.upload != null && !over) {
        sentAt = System.nanoTime();
        expiry.cancel(false);
        expiry = loop.schedule(this::expire, patience, TimeUnit.NANOSECONDS);
      }
    }

    HttpRequest message() {
      HttpRequest message =
          of.upload != null
              ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, of.method, of.uri)
              : new DefaultFullHttpRequest(
                  HttpVersion.HTTP_1_1, of.method, of.uri, of.body.retainedDuplicate());
      message
          .headers()
          .set(HttpHeaderNames.HOST, "app.svc")
          .set("X-Trace-Id", of.request.id())
          .set("X-Expires-In-Ms", Math.max(1, (patience - (System.nanoTime() - sentAt)) / MS));
      if (of.key != null) {
        message.headers().set("Idempotency-Key", of.key);
      }
      if (of.upload != null && of.upload.length() < 0) {
        HttpUtil.setTransferEncodingChunked(message, true);
      } else if (of.upload != null) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.upload.length());
      } else if (of.body.isReadable()) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, of.body.readableBytes());
      }
      return message;
    }
  }

  /** A connection to an app server. */
  private final class Connection extends SimpleChannelInboundHandler<HttpObject>
      implements TransportHandle {
    private final StrictHttpResponseDecoder decoder;
    private Channel channel;
    private UpstreamConnectionTable.UpstreamConnection link;
    private Attempt attempt;

    /** The answer so far: its head, its body while that is held, and whether all of it is here. */
    private HttpResponse answer;

    private ByteBuf held;
    private BufferedBodies.Body holding;
    private boolean interim;
    private boolean whole;
    private boolean stray;

    /** Where a long answer goes on to, and when its first piece did. */
    private BodyRelay relay;

    Connection(StrictHttpResponseDecoder decoder) {
      this.decoder = decoder;
    }

    /** Not in channelActive: a connect's listeners hear of it before the handlers do. */
    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      channel = context.channel();
    }

    void begin(UpstreamConnectionTable.UpstreamConnection made) {
      link = made;
      link.carrier(this);
    }

    @Override
    public void close() {
      channel.close();
    }

    void write(Attempt next) {
      attempt = next;
      next.on = this;
      if (next.of.upload == null) {
        channel
            .writeAndFlush(next.message())
            .addListener(
                done -> {
                  if (done.isSuccess()) {
                    next.sent();
                  } else {
                    channel.close();
                    next.broke();
                  }
                });
        return;
      }
      channel.write(next.message());
      channel
          .writeAndFlush(new DefaultHttpContent(next.of.body.retainedDuplicate()))
          .addListener(
              done -> {
                if (next.over || !done.isSuccess()) {
                  channel.close();
                  next.broke();
                } else {
                  next.of.upload.passTo(
                      channel,
                      next::sent,
                      () -> {
                        if (next.of.answered) {
                          next.end(Outcome.CANCELLED, 0, null);
                        }
                        channel.close();
                        next.broke();
                      });
                }
              });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (whole) {
        // What follows an answer is nobody's.
        stray = true;
        return;
      }
      if (part.decoderResult().isFailure()) {
        fault();
        return;
      }
      if (part instanceof HttpResponse head) {
        int status = head.status().code();
        interim = status >= 100 && status < 200;
        if (!interim && (attempt == null || answer != null || !attempt.written && status == 200)) {
          fault();
          return;
        }
        answer = interim ? answer : head;
      }
      if (part instanceof HttpContent content && !interim && answer != null && attempt != null) {
        piece(content.content());
        whole = content instanceof LastHttpContent;
      }
    }

    private void piece(ByteBuf bytes) {
      if (relay != null) {
        relay.piece(bytes.retain());
        return;
      }
      if (answer.status().code() != 200) {
        // All that matters of it is its head.
        return;
      }
      long length = HttpUtil.getContentLength(answer, -1L);
      if (held == null) {
        held = channel.alloc().buffer((int) Math.min(MOST_BODY, Math.max(length, FIRST_PIECE)));
        holding = bufferedBodies.open(attempt.of.request.customer());
      }
      held.writeBytes(bytes);
      boolean room = holding.hold(held.capacity());
      // Not by the length that it promises: a spoilt answer may promise what never comes, and from
      // here on no
      // deadline binds it.
      if (held.isReadable() && (!room || held.readableBytes() > MOST_BODY)) {
        passOn(length);
      }
    }

    /** From here on the answer is not held: nothing can take its place any more. */
    private void passOn(long length) {
      Attempt passed = attempt;
      Channel to =
          listener.responseStarted(
              passed.of, length, System.nanoTime() - passed.sentAt, passed.server, channel::close);
      if (to == null) {
        passed.end(Outcome.CANCELLED, 0, null);
        channel.close();
        return;
      }
      passed.expiry.cancel(false);
      passed.passed = true;
      relay = relays.start(channel, to);
      relay.piece(held);
      held = null;
      holding.release();
    }

    private void drop() {
      if (held != null) {
        held.release();
        held = null;
        holding.release();
      }
    }

    /**
     * An answer ends its attempt when all that came along was read: the next one must not find the
     * rest.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (relay != null) {
        relay.readComplete();
      }
      if (whole) {
        finish();
      } else if (attempt == null && decoder.hasUndecodedBytes()) {
        context.close();
      }
    }

    private void finish() {
      HttpResponse head = answer;
      ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
      BufferedBodies.Body holds = holding;
      Attempt answered = attempt;
      boolean passed = relay != null;
      if (passed) {
        relay.end();
      }
      answer = null;
      held = null;
      holding = null;
      relay = null;
      whole = false;
      attempt = null;
      answered.on = null;
      boolean again =
          HttpUtil.isKeepAlive(head)
              && !stray
              && !decoder.hasUndecodedBytes()
              && answered.written
              && channel.isActive();
      if (again) {
        channel.config().setAutoRead(true);
      } else {
        channel.close();
      }
      link.answered(System.nanoTime(), again);
      Outcome outcome = outcome(head);
      if (passed) {
        answered.of.passedAnswer().ended(true);
      }
      answered.end(outcome, outcome == Outcome.OK ? units(head) : 0, body);
      body.release();
      if (holds != null) {
        holds.release();
      }
    }

    private Outcome outcome(HttpResponse answer) {
      int status = answer.status().code();
      if (status == 200) {
        return Outcome.OK;
      }
      boolean neverRan =
          (status == 503 || status == 504) && "1".equals(answer.headers().get("X-Never-Ran"));
      return neverRan ? Outcome.REJECTED : Outcome.ERROR;
    }

    private double units(HttpResponse answer) {
      String charged = answer.headers().get("X-Units-Charged");
      try {
        double units = charged == null ? 0 : Double.parseDouble(charged);
        return Double.isFinite(units) && units > 0 ? units : 0;
      } catch (NumberFormatException e) {
        return 0;
      }
    }

    /**
     * A broken connection or an answer that cannot be read: what has come of it is no whole answer.
     */
    private void fault() {
      Attempt broken = attempt;
      if (relay != null) {
        relay.end();
        relay = null;
        if (broken != null) {
          broken.of.passedAnswer().ended(false);
        }
      }
      drop();
      answer = null;
      whole = false;
      channel.close();
      if (broken != null) {
        broken.broke();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (whole) {
        finish();
      } else {
        fault();
      }
      if (link != null) {
        link.lost(System.nanoTime());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fault();
    }
  }
}
