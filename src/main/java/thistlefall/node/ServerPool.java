package thistlefall.node;

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
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import thistlefall.Ports.Outcome;
import thistlefall.Ports.Readiness;

/** Connections to app servers, one request on each at a time, and the attempts on them with their outcomes. */
final class ServerPool {
    /** The longest body that is held whole. */
    static final int MOST_BODY = 64 * 1024;
    private static final int FIRST_PIECE = 512;
    /** No read takes more: what is decoded of one read is passed on before the next. */
    private static final int MOST_READ = 32 * 1024;
    private static final long MS = 1_000_000L, SWEEP = 1_000 * MS;

    private final EdgeNode node;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final long idleLimit;
    private final int sockets;
    private int most;
    private int connections;

    ServerPool(EdgeNode node, EventLoop loop, Config config) {
        this.node = node;
        this.loop = loop;
        // Well before the app server does: a request written to a connection that it closes ends as a reset.
        idleLimit = config.keepAlive() / 2;
        sockets = config.sockets();
        share(1);
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.RECVBUF_ALLOCATOR, reads())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeout() / MS))
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(handlers());
                }
            });
        loop.scheduleAtFixedRate(this::closeIdle, SWEEP, SWEEP, TimeUnit.NANOSECONDS);
    }

    /** How much is read at once. */
    static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(64, 2048, MOST_READ);
    }

    /** What stands on a connection to an app server. */
    ChannelHandler[] handlers() {
        AnswerDecoder decoder = new AnswerDecoder();
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, new Connection(decoder)};
    }

    /** Takes over an open connection that has these handlers. */
    void lend(String server, Channel channel) {
        Connection made = channel.pipeline().get(Connection.class);
        made.endpoint = endpoints.get(server);
        made.release();
    }

    /**
     * Reads an answer's header lines as strictly as a request's: the codec on its own takes a line without a colon
     * for an empty header. The status line may have no reason, and a body that tells no length goes on until its
     * connection ends.
     */
    static final class AnswerDecoder extends HttpResponseDecoder {
        private boolean headers;

        AnswerDecoder() {
            super(new HttpDecoderConfig().setMaxChunkSize(MOST_BODY));
        }

        @Override
        protected boolean isDecodingRequest() {
            return headers;
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            headers = true;
            return super.createMessage(statusLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage answer) {
            headers = false;
            if (answer.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && !HttpUtil.isTransferEncodingChunked(answer)) {
                throw new IllegalArgumentException("an answer that does not tell its end");
            }
            return super.isContentAlwaysEmpty(answer);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage answer) {
            throw new IllegalArgumentException("an answer with two lengths");
        }

        /** Whether bytes are left that belong to no whole answer. */
        boolean holdsMore() {
            return actualReadableBytes() > 0;
        }
    }

    /** One run of an app server at one address; a restart or a move makes a new one. */
    private static final class Endpoint {
        private final InetSocketAddress address;
        private final long startedAt;
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();
        private final Set<Attempt> connecting = new LinkedHashSet<>();
        private boolean retired;

        Endpoint(Config.Member member) {
            address = member.address();
            startedAt = member.server().startedAt();
        }

        void retire() {
            retired = true;
            while (!idle.isEmpty()) {
                idle.poll().channel.close();
            }
        }
    }

    /** Follows the list: connections to what is gone, has moved or has restarted are of no more use. */
    void update(Config.Roll roll, boolean whole) {
        Set<String> named = new HashSet<>();
        for (Config.Member member : roll.members()) {
            String id = member.server().id();
            named.add(id);
            Endpoint known = endpoints.get(id);
            boolean gone = member.server().readiness() == Readiness.GONE;
            boolean same = known != null && known.address.equals(member.address())
                && known.startedAt == member.server().startedAt();
            if (known != null && (gone || !same)) {
                known.retire();
                endpoints.remove(id);
            }
            if (!gone && !same) {
                endpoints.put(id, new Endpoint(member));
            }
        }
        if (whole) {
            endpoints.entrySet().removeIf(entry -> {
                boolean left = !named.contains(entry.getKey());
                if (left) {
                    entry.getValue().retire();
                }
                return left;
            });
        }
    }

    /** Begins an attempt; its outcome is told later, never from within this call. */
    void send(OpenRequest of, String server, long patience) {
        Attempt attempt = new Attempt(of, server, patience);
        Endpoint endpoint = endpoints.get(server);
        if (endpoint == null || connections >= most && !makeRoom(endpoint)) {
            loop.execute(() -> attempt.end(Outcome.NOT_SENT, 0, null));
            return;
        }
        attempt.expiry = loop.schedule(attempt::expire, patience, TimeUnit.NANOSECONDS);
        Connection ready = endpoint.idle.poll();
        if (ready != null) {
            ready.write(attempt);
            return;
        }
        connections++;
        endpoint.connecting.add(attempt);
        ChannelFuture connecting = bootstrap.connect(endpoint.address);
        connecting.channel().closeFuture().addListener(closed -> connections--);
        connecting.addListener(done -> {
            endpoint.connecting.remove(attempt);
            if (!done.isSuccess()) {
                attempt.end(Outcome.CONNECT_FAILED, 0, null);
                return;
            }
            Connection made = connecting.channel().pipeline().get(Connection.class);
            made.endpoint = endpoint;
            made.write(attempt);
        });
    }

    /** Keeps to a part of the descriptors, which all processes of this edge node hold together. */
    void share(int processes) {
        most = Math.max(16, sockets * 3 / 8 / processes);
    }

    /** How many servers the list holds. */
    int listed() {
        return endpoints.size();
    }

    /** What still waits for a connection to this server is sent to it no more, and its idle connections go. */
    void leaveOut(String server) {
        Endpoint endpoint = endpoints.get(server);
        if (endpoint != null) {
            while (!endpoint.idle.isEmpty()) {
                endpoint.idle.poll().channel.close();
            }
            List.copyOf(endpoint.connecting).forEach(attempt -> attempt.end(Outcome.CONNECT_FAILED, 0, null));
        }
    }

    /** At the bound on connections another server's longest idle one gives way. */
    private boolean makeRoom(Endpoint wanted) {
        if (!wanted.idle.isEmpty()) {
            return true;
        }
        for (Endpoint endpoint : endpoints.values()) {
            Connection oldest = endpoint.idle.pollLast();
            if (oldest != null) {
                oldest.channel.close();
                return true;
            }
        }
        return false;
    }

    private void closeIdle() {
        long due = System.nanoTime() - idleLimit;
        for (Endpoint endpoint : endpoints.values()) {
            while (!endpoint.idle.isEmpty() && endpoint.idle.peekLast().idleSince - due < 0) {
                endpoint.idle.pollLast().channel.close();
            }
        }
    }

    /** One sending of a request to an app server; it ends exactly once. */
    private final class Attempt {
        private final OpenRequest of;
        private final String server;
        private final long patience;
        private long sentAt = System.nanoTime();
        /** Whether a long answer is passed on: for the module the attempt was over when that began. */
        private boolean passed;
        private boolean written, over;
        private Connection on;
        private Future<?> expiry;

        Attempt(OpenRequest of, String server, long patience) {
            this.of = of;
            this.server = server;
            this.patience = patience;
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
            end(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, 0, null);
            if (used != null) {
                used.channel.close();
            }
        }

        void end(Outcome outcome, double units, ByteBuf body) {
            if (over) {
                return;
            }
            over = true;
            if (expiry != null) {
                expiry.cancel(false);
            }
            if (on != null) {
                on.attempt = null;
            }
            if (of.upload != null) {
                of.upload.leave();
            }
            if (!passed) {
                node.attemptEnded(of, outcome, System.nanoTime() - sentAt, server, units, body);
            }
        }

        /** The last byte is written. */
        void sent() {
            written = true;
            node.figures.tried();
            if (of.upload != null && !over) {
                sentAt = System.nanoTime();
                expiry.cancel(false);
                expiry = loop.schedule(this::expire, patience, TimeUnit.NANOSECONDS);
            }
        }

        HttpRequest message() {
            HttpRequest message = of.upload != null
                ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, of.method, of.uri)
                : new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, of.method, of.uri, of.body.retainedDuplicate());
            message.headers().set(HttpHeaderNames.HOST, "app.svc").set("X-Trace-Id", of.request.id())
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
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final AnswerDecoder decoder;
        private Channel channel;
        private Endpoint endpoint;
        private Attempt attempt;
        /** The answer so far: its head, its body while that is held, and whether all of it is here. */
        private HttpResponse answer;
        private ByteBuf held;
        private boolean interim, whole, stray;
        /** Where a long answer goes on to, and when its first piece did. */
        private Relay relay;
        private long idleSince;

        Connection(AnswerDecoder decoder) {
            this.decoder = decoder;
        }

        /** Not in channelActive: a connect's listeners hear of it before the handlers do. */
        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        void write(Attempt next) {
            if (next.over) {
                release();
                return;
            }
            attempt = next;
            next.on = this;
            if (next.of.upload == null) {
                channel.writeAndFlush(next.message()).addListener(done -> {
                    if (done.isSuccess()) {
                        next.sent();
                    } else {
                        next.broke();
                        channel.close();
                    }
                });
                return;
            }
            channel.write(next.message());
            channel.writeAndFlush(new DefaultHttpContent(next.of.body.retainedDuplicate())).addListener(done -> {
                if (next.over || !done.isSuccess()) {
                    next.broke();
                    channel.close();
                } else {
                    next.of.upload.passTo(channel, next::sent, () -> {
                        if (next.of.answered) {
                            next.end(Outcome.CANCELLED, 0, null);
                        }
                        next.broke();
                        channel.close();
                    });
                }
            });
        }

        private void release() {
            if (endpoint.retired || !channel.isActive()) {
                channel.close();
            } else {
                channel.config().setAutoRead(true);
                idleSince = System.nanoTime();
                endpoint.idle.push(this);
            }
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
            boolean served = answer.status().code() == 200;
            long length = HttpUtil.getContentLength(answer, -1L);
            if (held == null) {
                held = channel.alloc().buffer((int) Math.min(MOST_BODY, Math.max(length, FIRST_PIECE)));
            }
            if (served || held.readableBytes() + bytes.readableBytes() <= MOST_BODY) {
                held.writeBytes(bytes);
            }
            if (served && held.isReadable() && (length > MOST_BODY || held.readableBytes() > MOST_BODY)) {
                passOn(length);
            }
        }

        /** From here on the answer is not held: nothing can take its place any more. */
        private void passOn(long length) {
            Attempt passed = attempt;
            Channel to = node.answerBegan(passed.of, length, System.nanoTime() - passed.sentAt, passed.server,
                channel::close);
            if (to == null) {
                passed.end(Outcome.CANCELLED, 0, null);
                channel.close();
                return;
            }
            passed.expiry.cancel(false);
            passed.passed = true;
            relay = node.relays.start(channel, to);
            relay.piece(held);
            held = null;
        }

        /** An answer ends its attempt when all that came along was read: the next one must not find the rest. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (relay != null) {
                relay.readComplete();
            }
            if (whole) {
                finish();
            } else if (attempt == null && decoder.holdsMore()) {
                context.close();
            }
        }

        private void finish() {
            HttpResponse head = answer;
            ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
            Attempt answered = attempt;
            boolean passed = relay != null;
            if (passed) {
                relay.end();
            }
            answer = null;
            held = null;
            relay = null;
            whole = false;
            attempt = null;
            answered.on = null;
            if (HttpUtil.isKeepAlive(head) && !stray && !decoder.holdsMore() && answered.written) {
                release();
            } else {
                channel.close();
            }
            Outcome outcome = outcome(head);
            if (passed) {
                answered.of.passedAnswer().ended(true);
            }
            answered.end(outcome, outcome == Outcome.OK ? units(head) : 0, body);
            body.release();
        }

        private Outcome outcome(HttpResponse answer) {
            int status = answer.status().code();
            if (status == 200) {
                return Outcome.OK;
            }
            boolean neverRan = (status == 503 || status == 504) && "1".equals(answer.headers().get("X-Never-Ran"));
            return neverRan ? Outcome.FULL : Outcome.ERROR;
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

        /** A broken connection or an answer that cannot be read: what has come of it is no whole answer. */
        private void fault() {
            Attempt broken = attempt;
            if (relay != null) {
                relay.end();
                relay = null;
                if (broken != null) {
                    broken.of.passedAnswer().ended(false);
                }
            }
            if (held != null) {
                held.release();
                held = null;
            }
            answer = null;
            whole = false;
            if (broken != null) {
                broken.broke();
            }
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (endpoint != null) {
                endpoint.idle.remove(this);
            }
            if (whole) {
                finish();
            } else {
                fault();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fault();
        }
    }
}
