package edgegateway.node.clients;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnectionTable;
import edgegateway.node.connections.ConnectionAcceptor;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import edgegateway.node.connections.TlsTermination;
import edgegateway.node.connections.TransportHandle;
import edgegateway.node.lifecycle.EventLoopStallDetector;
import edgegateway.node.logging.EventLog;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import edgegateway.node.upstream.UpstreamPool;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.Request;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import io.netty.handler.ssl.SslCloseCompletionEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * The clients' side: reads their requests, turns away what is none, and writes the answers. Which
 * connections there are, and for how long, is for the {@link ClientConnectionTable} table.
 */
public final class ClientHttpServer {
  private static final EventLog LOG = EventLog.console();
  private static final long MAX_CUSTOMER = 1L << 33;
  private static final long LOOK_MS = 200;
  private static final long LINGER_MS = 1_000;
  private static final long GRACE_MS = ClientConnectionTable.DRAIN_GRACE / 1_000_000;

  /**
   * When a client that ended its sending is asked whether it is still there, in milliseconds after
   * that: the first of them that finds no answer to its way back tells. Four at the most: some
   * clients take no more lines that mean nothing.
   */
  private static final long[] ASKED_AT_MS = {0, 10, 35, 70};

  /**
   * Bytes that are read behind a request in hand, or of a long body before its attempt begins: to
   * see a client leave, it has to be read on. Up to the first they count for nothing, up to the
   * second as held, and only while there is much room.
   */
  private static final int LITTLE_BEHIND = 4 * 1024;

  private static final int MOST_BEHIND = 128 * 1024;

  /** What a head or a piece of a body takes beside its bytes. */
  private static final int PART = 128;

  /**
   * Where a client is not read, it is asked before an attempt begins, unless it was there so short
   * a time ago: with one line, and one more some time later, which fails where the first was
   * answered by a reset. Both spans together, in nanoseconds, stay under the tenth of a second in
   * which an attempt may begin for a client that has left.
   */
  private static final long SEEN = 50_000_000;

  private static final long ASKED_AGAIN = 20_000_000;

  /** Lines for one request of which the client is not read. */
  private static final int MOST_ASKED = 4;

  /** The longest body that is taken. */
  private static final long MOST_LONG = 32L << 20;

  private static final int FIRST_PIECE = 512;
  private static final double MOST_UNITS = 1e6;

  private final ClientRequestHandler handler;
  private final BufferedBodies bufferedBodies;
  private final BodyRelay.Group relays;
  private final EventLoopStallDetector stallDetector;
  private final EventLoop loop;
  private final NodeConfig config;
  private final ClientConnectionTable table;
  private final ConnectionAcceptor listener;

  /** Null where clients' connections are plain. */
  private final TlsTermination tls;

  private volatile boolean draining;

  /** The end of the grace time, in which connections go on coming. */
  private Future<?> grace;

  private volatile CompletableFuture<Void> drained;
  private volatile boolean succeeded;

  /** Null until it was begun to listen. */
  private CompletableFuture<Void> binding;

  public ClientHttpServer(
      ClientRequestHandler handler,
      EventLoop loop,
      NodeConfig config,
      ConnectionMetrics connectionMetrics,
      BufferedBodies bufferedBodies,
      BodyRelay.Group relays,
      EventLoopStallDetector stallDetector)
      throws IOException {
    this.handler = handler;
    this.bufferedBodies = bufferedBodies;
    this.relays = relays;
    this.stallDetector = stallDetector;
    this.loop = loop;
    this.config = config;
    table =
        new ClientConnectionTable(
            () -> ConnectionAcceptor.afterNextSelect(loop, () -> table().step(System.nanoTime())),
            connectionMetrics);
    listener = new ConnectionAcceptor(loop, this::exhausted);
    tls = config.tls() == null ? null : new TlsTermination(config.tls(), connectionMetrics);
    loop.scheduleAtFixedRate(
        () -> table.look(System.nanoTime()), LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
  }

  private ClientConnectionTable table() {
    return table;
  }

  /** Follows a new budget. */
  public void bound(DescriptorBudget budget) {
    table.bound(System.nanoTime(), budget);
  }

  /** No descriptor is left, whatever the budget says: clients give up some of theirs. */
  public void exhausted() {
    if (table.exhausted(System.nanoTime())) {
      LOG.warn("client_descriptors_exhausted", field("connections", table.open()));
    }
  }

  /** Listens; ends at once, with nothing done, if the process ends already. */
  public CompletableFuture<Void> bind() {
    return CompletableFuture.supplyAsync(
            () -> {
              if (drained != null) {
                return CompletableFuture.<Void>completedFuture(null);
              }
              binding = listener.bind(config.listen(), true, this::accepted);
              return binding;
            },
            loop)
        .thenCompose(Function.identity());
  }

  private void accepted(Channel channel) {
    RequestDecoder decoder = new RequestDecoder();
    Session session = new Session(decoder);
    if (tls != null) {
      channel.pipeline().addLast(tls.gate(() -> session.entry.secured()));
    }
    channel.pipeline().addLast(decoder, new HttpResponseEncoder(), session);
  }

  public void close() {
    if (tls != null) {
      tls.close();
    }
  }

  /** What stands on a client's connection. */
  public ChannelHandler[] handlers() {
    RequestDecoder decoder = new RequestDecoder();
    return new ChannelHandler[] {decoder, new HttpResponseEncoder(), new Session(decoder)};
  }

  /**
   * Takes no request that tells its length in two ways: another reader would see another request in
   * it.
   */
  private static final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder() {
      super(new HttpDecoderConfig().setMaxChunkSize(UpstreamPool.MAX_BUFFERED_BODY_BYTES));
    }

    /** Whether a request has begun that can't be told yet. */
    boolean holdsMore() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("a request with two lengths");
    }
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  /** Whether the front is told to send nobody; any thread. */
  public boolean draining() {
    return draining;
  }

  /**
   * Drains, or takes clients again; false if the process ends and no more can be taken. In a drain
   * each connection ends with its next answer, and after the grace time those between requests end
   * too. The listening socket stays, for health is asked there.
   */
  public boolean drain(boolean on) {
    if (drained != null) {
      return on;
    }
    if (on && !draining) {
      grace = loop.schedule(table::endIdle, GRACE_MS, TimeUnit.MILLISECONDS);
    } else if (!on && draining) {
      grace.cancel(false);
    }
    draining = on;
    table.drain(on);
    return true;
  }

  /** Whether the process ends; any thread. */
  public boolean stopping() {
    return drained != null;
  }

  /** Whether another process takes this edge node's clients now; any thread. */
  public boolean succeeded() {
    return succeeded;
  }

  /**
   * Drains for good: after the grace time nobody comes any more, and the listening socket goes as
   * well. Where another process takes the clients, it goes at once.
   */
  public void stop(CompletableFuture<Void> done, boolean bySuccessor) {
    succeeded = bySuccessor;
    drain(true);
    drained = done;
    if (binding == null) {
      // A signal in the midst of a start: nobody came, and nobody will.
      finishDrain();
      return;
    }
    if (bySuccessor) {
      listener.close(this::finishDrain);
    }
    loop.schedule(
        () -> {
          listener.close(this::finishDrain);
          table.endIdle();
        },
        GRACE_MS,
        TimeUnit.MILLISECONDS);
  }

  private void finishDrain() {
    if (drained != null && !listener.open() && table.open() == 0) {
      drained.complete(null);
    }
  }

  /** A request that is none: the status says why. */
  private static final class Refusal extends Exception {
    private static final long serialVersionUID = 1L;
    private final HttpResponseStatus status;

    Refusal(HttpResponseStatus status, String why) {
      super(why, null, false, false);
      this.status = status;
    }
  }

  private static Refusal bad(String why) {
    return new Refusal(HttpResponseStatus.BAD_REQUEST, why);
  }

  /** Reads a request; what it cannot read it names. */
  private InFlightRequest read(
      HttpRequest message,
      ByteBuf body,
      BufferedBodies.Body holding,
      InFlightRequest.BodyUpload upload,
      InFlightRequest.ResponseWriter answers)
      throws Refusal {
    String uri = message.uri();
    if (!uri.equals("/api") && !uri.startsWith("/api?")) {
      throw new Refusal(HttpResponseStatus.NOT_FOUND, "no such path");
    }
    HttpHeaders headers = message.headers();
    String id = need(headers, "X-Trace-Id");
    if (id.length() > 128) {
      throw bad("X-Trace-Id is too long");
    }
    int requestClass = index(config.names().classes(), headers, "X-Qos");
    int plan = index(config.names().plans(), headers, "X-Plan");
    Idempotency repeat = config.settings().requestClasses().get(requestClass).idempotency();
    HttpMethod method = repeat == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
    if (!message.method().equals(method)) {
      throw new Refusal(HttpResponseStatus.METHOD_NOT_ALLOWED, "this class goes by " + method);
    }
    if (method.equals(HttpMethod.GET) && body.isReadable()) {
      throw bad("a GET has no body");
    }
    String key =
        repeat == Idempotency.KEYED
            ? need(headers, "Idempotency-Key")
            : headers.get("Idempotency-Key");
    long span = whole(need(headers, "X-Expires-In-Ms"), "X-Expires-In-Ms", 1, 3_600_000);
    Map<String, String> quota = quota(need(headers, "X-Quota"));
    int siblings = config.settings().nodeCount();
    Request request =
        new Request(
            id,
            requestClass,
            plan,
            customer(headers),
            handler.policyDeadlineNanos(handler.nowNanos(), span * 1_000_000L),
            units(quota.get("units")),
            (int) whole(quota.get("spread"), "X-Quota spread", 1, siblings),
            (int) whole(quota.get("first"), "X-Quota first", 0, siblings - 1L),
            "1".equals(headers.get("X-Second-Try")));
    return new InFlightRequest(request, method, uri, key, body, holding, upload, answers);
  }

  private static String need(HttpHeaders headers, String name) throws Refusal {
    List<String> values = headers.getAll(name);
    if (values.size() != 1 || values.get(0).isBlank()) {
      throw bad(name + (values.size() > 1 ? " comes twice" : " is missing"));
    }
    return values.get(0);
  }

  private static int index(List<String> names, HttpHeaders headers, String name) throws Refusal {
    int index = names.indexOf(need(headers, name));
    if (index < 0) {
      throw bad(name + " is unknown");
    }
    return index;
  }

  private static long customer(HttpHeaders headers) throws Refusal {
    for (Cookie cookie : ServerCookieDecoder.LAX.decode(need(headers, "Cookie"))) {
      if (cookie.name().equals("customer") && cookie.value().length() == 16) {
        try {
          long customer = Long.parseUnsignedLong(cookie.value(), 16);
          if (customer >= 0 && customer < MAX_CUSTOMER) {
            return customer;
          }
        } catch (NumberFormatException e) {
          // Said below.
        }
      }
    }
    throw bad("the cookie names no customer");
  }

  private static Map<String, String> quota(String text) {
    Map<String, String> parts = new HashMap<>();
    for (String part : text.split(",")) {
      String[] pair = part.trim().split("=", 2);
      parts.put(pair[0].toLowerCase(Locale.ROOT), pair.length > 1 ? pair[1] : "");
    }
    return parts;
  }

  private static double units(String text) throws Refusal {
    try {
      double units = text == null ? 0 : Double.parseDouble(text);
      if (units > 0 && units <= MOST_UNITS) {
        return units;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw bad("X-Quota units is not a number above 0");
  }

  private static long whole(String text, String name, long least, long most) throws Refusal {
    try {
      long value = text == null ? least - 1 : Long.parseLong(text.trim());
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw bad(name + " is not a whole number from " + least + " to " + most);
  }

  /** Whose body it is that comes in behind this head. */
  private static long owner(HttpRequest message) {
    try {
      return customer(message.headers());
    } catch (Refusal e) {
      return BufferedBodies.STRANGER;
    }
  }

  /** A client's connection: one request at a time, what comes behind it waits its turn. */
  private final class Session extends SimpleChannelInboundHandler<HttpObject>
      implements TransportHandle {
    private final RequestDecoder decoder;
    private Channel channel;
    private ClientConnectionTable.Entry entry;
    private InFlightRequest current;
    private boolean keepAlive;
    private boolean old;
    private boolean headOnly;
    private boolean closing;
    private boolean inputEnded;

    /** Decoded, but behind a request that is not answered yet. */
    private final ArrayDeque<HttpObject> waiting = new ArrayDeque<>();

    /** What it takes, in bytes, and where that is counted. */
    private int behind;

    private BufferedBodies.Body ahead;

    /**
     * When the client was last known to be there, while it is not read; and how often it was asked
     * for this request.
     */
    private long seenAt;

    private int asked;

    /**
     * The request that is coming in: its head, its body while that is held, the rest of a long one.
     */
    private HttpRequest head;

    private ByteBuf body;
    private BufferedBodies.Body holding;
    private Rest rest;
    private long received;

    /** Run if the client leaves while a long answer is passed on. */
    private Runnable leaves;

    private boolean endTold;

    Session(RequestDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      channel = context.channel();
      entry = table.accepted(System.nanoTime(), channel.remoteAddress(), tls != null, this);
      if (entry == null) {
        closing = true;
        channel.close();
      }
      if (table.full()) {
        listener.awaitRoom();
      }
    }

    @Override
    public void close() {
      channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (closing) {
        return;
      }
      if (rest != null && rest.relay != null) {
        rest.pass(part);
      } else if (current == null && waiting.isEmpty()) {
        handle(part);
      } else {
        // What is behind it was taken too, and a close would lose it: the peer has to wait.
        waiting.add(ReferenceCountUtil.retain(part));
        behind += cost(part);
        if (crowded()) {
          pause();
        }
      }
    }

    private static int bytes(HttpObject part) {
      return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private static int cost(HttpObject part) {
      int cost = PART + bytes(part);
      if (part instanceof HttpRequest request) {
        cost += request.uri().length();
        for (Map.Entry<String, String> header : request.headers()) {
          cost += PART + header.getKey().length() + header.getValue().length();
        }
      }
      return cost;
    }

    /** What waited longest, which waits no longer; null if nothing does. */
    private HttpObject next() {
      HttpObject next = waiting.poll();
      behind -= next == null ? 0 : cost(next);
      return next;
    }

    /** Whether so much waits that no more is read; has it counted. */
    private boolean crowded() {
      if (behind > LITTLE_BEHIND && ahead == null) {
        ahead =
            bufferedBodies.open(
                current == null ? BufferedBodies.STRANGER : current.request.customer());
      } else if (behind <= LITTLE_BEHIND && ahead != null) {
        ahead.release();
        ahead = null;
      }
      if (ahead == null) {
        return false;
      }
      ahead.keep(behind);
      return behind > MOST_BEHIND || !bufferedBodies.spare();
    }

    /** Reads no more, and so sees neither a close nor a reset. */
    private void pause() {
      if (channel.config().isAutoRead()) {
        seenAt = System.nanoTime();
        channel.config().setAutoRead(false);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      if (rest != null && rest.relay != null) {
        rest.relay.readComplete();
      } else if (!closing && entry.between() && decoder.holdsMore()) {
        entry.heard(System.nanoTime(), 0);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      boolean ended =
          event instanceof ChannelInputShutdownEvent
              || tls != null && event == SslCloseCompletionEvent.SUCCESS;
      if (ended && !inputEnded) {
        inputEnded = true;
        noMoreComes();
      }
    }

    /**
     * The client ended its sending, or has closed: the same from here. What it sent whole is
     * answered; one that has closed resets the connection when something is written to it, so it is
     * sent a line that means nothing.
     */
    private void noMoreComes() {
      boolean whole = current != null && (rest == null || rest.complete) || !waiting.isEmpty();
      boolean cut =
          rest != null
              && !rest.complete
              && waiting.stream().noneMatch(LastHttpContent.class::isInstance);
      if (!whole || cut) {
        channel.close();
        return;
      }
      entry.halfClosed();
      if (old && current != null && leaves == null) {
        // To a peer that knows no such line.
        handler.clientPossiblyDisconnected(current);
        return;
      }
      for (long at : ASKED_AT_MS) {
        loop.schedule(this::ask, at, TimeUnit.MILLISECONDS);
      }
    }

    private void ask() {
      if (current != null && leaves == null && channel.isActive()) {
        goOn();
      }
    }

    private void goOn() {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    private void handle(HttpObject part) {
      if (part.decoderResult().isFailure()) {
        keepAlive = false;
        plain(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
        return;
      }
      if (part instanceof HttpRequest request) {
        open(request);
      }
      if (part instanceof HttpContent content && head != null) {
        take(content.content(), content instanceof LastHttpContent);
      }
    }

    private void open(HttpRequest request) {
      head = request;
      received = 0;
      entry.head(System.nanoTime());
      holding = bufferedBodies.open(owner(request));
      keepAlive = HttpUtil.isKeepAlive(request);
      old = !request.protocolVersion().isKeepAliveDefault();
      headOnly = request.method().equals(HttpMethod.HEAD);
      String expected = request.headers().get(HttpHeaderNames.EXPECT);
      if (HttpUtil.getContentLength(request, 0L) > MOST_LONG) {
        keepAlive = false;
        plain(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
      } else if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
        keepAlive = false;
        plain(HttpResponseStatus.EXPECTATION_FAILED, "no such expectation");
      } else if (entry.turnedAway() && !request.uri().equals("/_health")) {
        turnAway();
      } else if (HttpUtil.is100ContinueExpected(request)) {
        goOn();
      }
    }

    /** There is no room for its connection or its body: the answer comes before the rest of it. */
    private void turnAway() {
      keepAlive = false;
      try {
        InFlightRequest away = read(head, Unpooled.EMPTY_BUFFER, holding, null, new Reply());
        current = away;
        if (!handler.rejectOverCapacity(away)) {
          current = null;
          plain(HttpResponseStatus.CONFLICT, "a request of this id is open");
        }
      } catch (Refusal e) {
        plain(e.status, e.getMessage());
      }
    }

    private void take(ByteBuf piece, boolean last) {
      received += piece.readableBytes();
      entry.heard(System.nanoTime(), piece.readableBytes());
      if (body == null) {
        long length = Math.max(FIRST_PIECE, HttpUtil.getContentLength(head, 0L));
        body =
            last && !piece.isReadable()
                ? Unpooled.EMPTY_BUFFER
                : channel
                    .alloc()
                    .buffer((int) Math.min(UpstreamPool.MAX_BUFFERED_BODY_BYTES, length));
      }
      body.writeBytes(piece);
      if (!holding.hold(body.capacity())) {
        turnAway();
        return;
      }
      if (!last && body.readableBytes() <= UpstreamPool.MAX_BUFFERED_BODY_BYTES) {
        return;
      }
      HttpRequest request = head;
      ByteBuf held = body;
      BufferedBodies.Body holds = holding;
      body = null;
      holding = null;
      head = null;
      entry.request();
      try {
        if (request.uri().equals("/_health") && last) {
          holds.release();
          health(request.method());
        } else {
          rest = last ? null : new Rest(HttpUtil.getContentLength(request, -1L));
          take(read(request, held.retain(), holds, rest, new Reply()));
        }
      } catch (Refusal e) {
        held.release();
        holds.release();
        plain(e.status, e.getMessage());
      } finally {
        held.release();
      }
    }

    private void take(InFlightRequest taken) {
      current = taken;
      if (rest != null) {
        rest.of = taken;
        rest.span = taken.request.deadlineNanos() - handler.nowNanos();
      }
      if (!handler.accept(taken)) {
        current = null;
        taken.release();
        plain(HttpResponseStatus.CONFLICT, "a request of this id is open");
      }
    }

    private void health(HttpMethod method) {
      if (!method.equals(HttpMethod.GET)) {
        plain(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
      } else {
        plain(
            handler.healthy() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      }
    }

    private void plain(HttpResponseStatus status, String why) {
      write(
          status,
          why.isEmpty()
              ? Unpooled.EMPTY_BUFFER
              : Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8),
          0);
    }

    private ChannelFuture write(HttpResponseStatus status, ByteBuf whole, long retryAfter) {
      DefaultFullHttpResponse answer =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, status, headOnly ? Unpooled.EMPTY_BUFFER : whole);
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, whole.readableBytes());
      if (headOnly) {
        whole.release();
      }
      if (retryAfter > 0) {
        answer
            .headers()
            .set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfter / 1e9));
      }
      keepAlive &= head == null && (rest == null || rest.complete);
      tellEnd(answer.headers());
      ChannelFuture written = written(channel.writeAndFlush(answer));
      end(written);
      return written;
    }

    /** A peer that does not read is given up after a while. */
    private ChannelFuture written(ChannelFuture last) {
      entry.writing(System.nanoTime());
      return last.addListener(done -> entry.written(System.nanoTime()));
    }

    /** Whether the connection ends with this answer is told in its head. */
    private void tellEnd(HttpHeaders headers) {
      endTold = !keepAlive || waiting.isEmpty() && (draining || inputEnded || entry.shouldEnd());
      if (endTold) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      } else if (old) {
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
      }
    }

    /** The answer's last write is out: the connection ends, or what waits has its turn. */
    private void end(ChannelFuture written) {
      closing = endTold || draining && waiting.isEmpty();
      current = null;
      rest = null;
      leaves = null;
      asked = 0;
      drop();
      if (closing) {
        entry.ending();
        written.addListener(done -> endSending(done.isSuccess()));
        return;
      }
      entry.idle(System.nanoTime());
      written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      if (!waiting.isEmpty() || !channel.config().isAutoRead()) {
        loop.execute(this::handleWaiting);
      }
    }

    /**
     * The last answer is written, and the connection ends. A close while bytes are unread is a
     * reset, and takes back what of the answer the system still holds: so nothing more is sent, and
     * what comes is dropped, until the client closes too or for a while.
     */
    private void endSending(boolean written) {
      if (!written || inputEnded || !(channel instanceof SocketChannel socket)) {
        channel.close();
        return;
      }
      entry.lingering();
      if (tls == null) {
        socket.shutdownOutput();
      } else {
        tls.endSending(socket);
      }
      channel.config().setAutoRead(true);
      loop.schedule(
          () -> {
            channel.close();
          },
          LINGER_MS,
          TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the connection so that the peer can tell at once, whatever it has still to read and in
     * whatever form the answer was begun: by TLS with no {@code close_notify}, which would be an
     * end.
     */
    private void reset() {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.pipeline().firstContext().close();
    }

    private void handleWaiting() {
      while (!waiting.isEmpty() && !closing && current == null) {
        HttpObject next = next();
        try {
          handle(next);
        } finally {
          ReferenceCountUtil.release(next);
        }
      }
      if (!crowded() && (rest == null || rest.relay == null)) {
        channel.config().setAutoRead(true);
      }
      if (current == null && waiting.isEmpty() && inputEnded && !closing) {
        // What came last is no whole request.
        channel.close();
      }
    }

    /** What is held of a request that does not come whole. */
    private void drop() {
      head = null;
      if (body != null) {
        body.release();
        body = null;
      }
      if (holding != null) {
        holding.release();
        holding = null;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (entry != null) {
        entry.closed();
        listener.roomAgain();
      }
      while (!waiting.isEmpty()) {
        ReferenceCountUtil.release(next());
      }
      crowded();
      drop();
      InFlightRequest left = current;
      Rest cut = rest;
      Runnable gone = leaves;
      current = null;
      rest = null;
      leaves = null;
      closing = true;
      if (gone != null) {
        handler.responseEnded(left, null);
        gone.run();
      } else if (left != null) {
        handler.clientDisconnected(left);
      }
      if (cut != null) {
        cut.cutOff();
      }
      finishDrain();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (!(cause instanceof IOException || cause instanceof CodecException)) {
        LOG.warn("client_connection_failed", field("error", cause));
      }
      context.close();
    }

    /** What of a long body comes after the beginning that is held. */
    private final class Rest implements InFlightRequest.BodyUpload {
      private final long length;
      private InFlightRequest of;
      private long span;
      private BodyRelay relay;
      private Channel server;
      private Runnable written;
      private Runnable gone;
      private boolean complete;
      private boolean letGo;

      Rest(long length) {
        this.length = length;
      }

      @Override
      public long length() {
        return length;
      }

      @Override
      public boolean complete() {
        return complete;
      }

      @Override
      public void passTo(Channel to, Runnable whenWritten, Runnable whenGone) {
        server = to;
        written = whenWritten;
        gone = whenGone;
        if (letGo || !channel.isActive()) {
          gone.run();
          return;
        }
        pause();
        relay = relays.start(channel, to);
        while (!waiting.isEmpty() && !complete) {
          HttpObject next = next();
          try {
            pass(next);
          } finally {
            ReferenceCountUtil.release(next);
          }
        }
        crowded();
        if (relay != null) {
          relay.readComplete();
        }
      }

      private void pass(HttpObject part) {
        received += bytes(part);
        if (part.decoderResult().isFailure() || received > MOST_LONG) {
          channel.close();
          return;
        }
        if (!letGo) {
          letGo = true;
          handler.bodyForwarded(of);
        }
        if (part instanceof HttpContent content) {
          relay.piece(content.content().retain());
        }
        if (part instanceof LastHttpContent) {
          complete = true;
          relay.end();
          relay = null;
          handler.uploadCompleted(of, span);
          Runnable sent = written;
          Runnable broke = gone;
          server
              .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
              .addListener(done -> (done.isSuccess() ? sent : broke).run());
          channel.config().setAutoRead(true);
        }
      }

      @Override
      public void leave() {
        if (relay != null) {
          relay.end();
          relay = null;
        }
      }

      /** The client left in the midst of it: the app server must not wait for the rest. */
      private void cutOff() {
        if (!complete && server != null) {
          leave();
          gone.run();
        }
      }
    }

    /** Writes the one answer of the request in hand. */
    private final class Reply implements InFlightRequest.ResponseWriter {
      private InFlightRequest of;
      private boolean untilClose;

      /** The last of a long answer, once that is here. */
      private ChannelFuture last;

      @Override
      public void served(ByteBuf whole) {
        // It is here until the client has taken it.
        BufferedBodies.Body writing = bufferedBodies.open(current.request.customer());
        writing.keep(whole.readableBytes());
        write(HttpResponseStatus.OK, whole.retain(), 0).addListener(done -> writing.release());
      }

      @Override
      public void refused(long retryAfter) {
        // Without a place, and not for anything of this customer's, it is no case of too many
        // requests.
        write(
            retryAfter > 0 && head == null
                ? HttpResponseStatus.TOO_MANY_REQUESTS
                : HttpResponseStatus.SERVICE_UNAVAILABLE,
            Unpooled.EMPTY_BUFFER,
            retryAfter);
      }

      @Override
      public void failed() {
        write(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
      }

      @Override
      public Channel begun(long length, Runnable gone) {
        of = current;
        leaves = gone;
        DefaultHttpResponse answer =
            new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length >= 0) {
          answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (old) {
          untilClose = true;
          keepAlive = false;
        } else {
          HttpUtil.setTransferEncodingChunked(answer, true);
        }
        tellEnd(answer.headers());
        channel.write(answer);
        return channel;
      }

      @Override
      public void ended(boolean whole) {
        if (leaves == null || current != of) {
          return;
        }
        leaves = null;
        if (whole) {
          last = written(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
          last.addListener(
              done -> handler.responseEnded(of, done.isSuccess() ? RequestEnd.PASSED : null));
          end(last);
          return;
        }
        handler.responseEnded(of, RequestEnd.BAD_GATEWAY);
        current = null;
        if (untilClose) {
          // Only a reset tells that it is not whole.
          reset();
        } else {
          channel.close();
        }
      }

      @Override
      public boolean seen() {
        long now = System.nanoTime();
        // What is no socket has nothing unread.
        return !(channel instanceof SocketChannel)
            || (channel.config().isAutoRead() ? stallDetector.none(now) : now - seenAt <= SEEN);
      }

      @Override
      public void ask(Runnable then) {
        InFlightRequest about = current;
        if (channel.config().isAutoRead()) {
          // What it has to say is read meanwhile.
          loop.schedule(then, EventLoopStallDetector.SETTLE_NANOS, TimeUnit.NANOSECONDS);
        } else if (old || asked >= MOST_ASKED) {
          loop.execute(
              () -> {
                handler.clientPossiblyDisconnected(about);
                then.run();
              });
        } else {
          asked += 2;
          seenAt = System.nanoTime();
          goOn();
          loop.schedule(
              () -> {
                if (current == about && channel.isActive()) {
                  goOn();
                }
                if (!channel.isActive()) {
                  // Its end is told here only some tasks later.
                  handler.clientDisconnected(about);
                }
                then.run();
              },
              ASKED_AGAIN,
              TimeUnit.NANOSECONDS);
        }
      }

      @Override
      public void cut() {
        if (leaves != null && current == of) {
          Runnable gone = leaves;
          leaves = null;
          current = null;
          handler.responseEnded(of, RequestEnd.BAD_GATEWAY);
          reset();
          gone.run();
        } else if (last != null
            && !last.isDone()
            && current == null
            && head == null
            && waiting.isEmpty()) {
          // All of it is here, and its client takes it too slowly. With a further request behind it
          // that one would
          // be lost.
          reset();
        }
      }
    }
  }
}
