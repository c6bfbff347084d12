package edgegateway.node.clients;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnection;
import edgegateway.node.connections.TransportHandle;
import edgegateway.node.logging.EventLog;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.ssl.SslCloseCompletionEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * The last handler in the pipeline of a client's connection: it takes decoded messages and has one
 * request in flight at a time, in their order. What arrives behind that waits in {@link
 * PipelinedMessages}; responses go out by {@link ResponseSender}. For the event loop's thread.
 */
final class ClientSession extends SimpleChannelInboundHandler<HttpObject>
    implements TransportHandle {
  private static final EventLog LOG = EventLog.console();
  private static final String DUPLICATE_ID = "a request of this id is open";

  private final ClientSessionContext context;
  private final StrictRequestDecoder decoder;
  private final IncomingRequest incoming = new IncomingRequest();
  private final ConnectionPersistence persistence = new ConnectionPersistence();
  private final PipelinedMessages pipelined;
  private Channel channel;
  private ResponseSender responses;
  private ClientPresenceCheck presence;

  /** Null if the table rejected the connection. */
  private ClientConnection connection;

  /** The request in flight; null if there is none. */
  private InFlightRequest current;

  /** The rest of the body of the request in flight; null if that was buffered whole. */
  private RequestBodyUpload upload;

  /** Run if the client disconnects while its response is streamed; null otherwise. */
  private Runnable onClientDisconnect;

  /** Whether nothing that arrives is accepted any more. */
  private boolean closing;

  /** Whether the client ended its side, or closed. */
  private boolean inputEnded;

  ClientSession(ClientSessionContext context, StrictRequestDecoder decoder) {
    this.context = context;
    this.decoder = decoder;
    pipelined = new PipelinedMessages(context.bufferedBodies());
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
    connection =
        context
            .connections()
            .accept(System.nanoTime(), channel.remoteAddress(), context.tls(), this);
    responses = new ResponseSender(this, channel, connection, persistence);
    presence = new ClientPresenceCheck(this, channel, responses, persistence, context);
    if (connection == null) {
      closing = true;
      channel.close();
    }
    context.server().connectionAccepted();
  }

  /** Closes the socket, on behalf of the connection table. */
  @Override
  public void close() {
    channel.close();
  }

  /** The TLS handshake of the connection completed. */
  void handshakeCompleted() {
    connection.handshakeCompleted();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (closing) {
      return;
    }
    if (isForwardingUpload()) {
      upload.forward(message);
    } else if (current == null && pipelined.isEmpty()) {
      receive(message);
    } else {
      pipelined.add(ReferenceCountUtil.retain(message));
      if (updateReadAhead()) {
        pauseReading();
      }
    }
  }

  private boolean isForwardingUpload() {
    return upload != null && upload.isForwarding();
  }

  /** Counts what is queued; whether no more should be read. */
  boolean updateReadAhead() {
    long customer = current == null ? BufferedBodies.UNKNOWN_CUSTOMER : current.request.customer();
    return pipelined.updateReadAhead(customer);
  }

  /** Reads no more, so that neither a close nor a reset by the client is seen. */
  void pauseReading() {
    if (channel.config().isAutoRead()) {
      presence.readingPaused();
      channel.config().setAutoRead(false);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (isForwardingUpload()) {
      upload.readComplete();
    } else if (!closing && connection.isIdle() && decoder.hasUndecodedBytes()) {
      connection.bytesReceived(System.nanoTime(), 0);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    boolean closeNotified = context.tls() && event == SslCloseCompletionEvent.SUCCESS;
    if ((event instanceof ChannelInputShutdownEvent || closeNotified) && !inputEnded) {
      inputEnded = true;
      inputEnded();
    }
  }

  /**
   * The client ended its side, or closed: there is no difference yet. What it sent whole is
   * answered (ConnectionsTest#aHalfClosedClientGetsItsResponses); whether it closed is found out by
   * probes (ConnectionsTest#aClosedClientIsDetectedAtOnce).
   */
  private void inputEnded() {
    boolean uploadPending = upload != null && !upload.isComplete();
    boolean requestComplete = current != null && !uploadPending || !pipelined.isEmpty();
    boolean uploadTruncated = uploadPending && !pipelined.hasEndOfBody();
    if (!requestComplete || uploadTruncated) {
      channel.close();
      return;
    }
    connection.halfClosed();
    if (persistence.isHttp10() && awaitsResponse()) {
      // It knows no interim response, and so cannot be probed.
      context.handler().clientPossiblyDisconnected(current);
      return;
    }
    presence.probeAfterHalfClose();
  }

  private void receive(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      persistence.closeAfterResponse();
      responses.sendText(HttpResponseStatus.BAD_REQUEST, "this is no request that can be read");
      return;
    }
    if (message instanceof HttpRequest request) {
      receiveHead(request);
    }
    if (message instanceof HttpContent content && incoming.isActive()) {
      receiveBody(content.content(), content instanceof LastHttpContent);
    }
  }

  private void receiveHead(HttpRequest request) {
    connection.headReceived(System.nanoTime());
    long customer = context.parser().customerOrUnknown(request);
    incoming.begin(request, context.bufferedBodies().newBody(customer));
    persistence.requestReceived(request);
    String expectation = request.headers().get(HttpHeaderNames.EXPECT);
    if (HttpUtil.getContentLength(request, 0L) > RequestBodyUpload.MAX_BODY_BYTES) {
      persistence.closeAfterResponse();
      responses.sendText(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long");
    } else if (expectation != null
        && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
      persistence.closeAfterResponse();
      responses.sendText(HttpResponseStatus.EXPECTATION_FAILED, "no such expectation");
    } else if (connection.isOverCapacity() && !isHealthCheck(request)) {
      rejectOverCapacity();
    } else if (HttpUtil.is100ContinueExpected(request)) {
      responses.sendContinue();
    }
  }

  private static boolean isHealthCheck(HttpRequest request) {
    return request.uri().equals(RequestParser.HEALTH_PATH);
  }

  /** There is no place for its connection, or none for its body: rejects it before it is whole. */
  private void rejectOverCapacity() {
    persistence.closeAfterResponse();
    try {
      InFlightRequest rejected =
          context
              .parser()
              .parse(
                  incoming.head(),
                  Unpooled.EMPTY_BUFFER,
                  incoming.bufferedBytes(),
                  null,
                  newResponseWriter());
      current = rejected;
      if (!context.handler().rejectOverCapacity(rejected)) {
        current = null;
        responses.sendText(HttpResponseStatus.CONFLICT, DUPLICATE_ID);
      }
    } catch (BadRequestException e) {
      responses.sendText(e.status(), e.getMessage());
    }
  }

  private void receiveBody(ByteBuf piece, boolean last) {
    connection.bytesReceived(System.nanoTime(), piece.readableBytes());
    if (!incoming.append(piece, last, channel.alloc())) {
      rejectOverCapacity();
      return;
    }
    if (last || incoming.isTooLongToBuffer()) {
      requestReceived(last);
    }
  }

  /** The request is whole, or its body too long to be buffered. */
  private void requestReceived(boolean whole) {
    HttpRequest head = incoming.head();
    ByteBuf body = incoming.body();
    BufferedBodies.Body bufferedBytes = incoming.bufferedBytes();
    incoming.detach();
    connection.requestReceived();
    try {
      if (isHealthCheck(head) && whole) {
        bufferedBytes.release();
        answerHealthCheck(head.method());
      } else {
        upload = whole ? null : newUpload(HttpUtil.getContentLength(head, -1L));
        accept(
            context
                .parser()
                .parse(head, body.retain(), bufferedBytes, upload, newResponseWriter()));
      }
    } catch (BadRequestException e) {
      body.release();
      bufferedBytes.release();
      responses.sendText(e.status(), e.getMessage());
    } finally {
      body.release();
    }
  }

  private RequestBodyUpload newUpload(long contentLength) {
    return new RequestBodyUpload(
        this, channel, pipelined, context, contentLength, incoming.receivedBytes());
  }

  private ClientResponseWriter newResponseWriter() {
    return new ClientResponseWriter(this, channel, responses, presence, context);
  }

  private void accept(InFlightRequest request) {
    current = request;
    if (upload != null) {
      upload.requestAccepted(request);
    }
    if (!context.handler().accept(request)) {
      current = null;
      request.release();
      responses.sendText(HttpResponseStatus.CONFLICT, DUPLICATE_ID);
    }
  }

  private void answerHealthCheck(HttpMethod method) {
    if (!method.equals(HttpMethod.GET)) {
      responses.sendText(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET only");
    } else if (context.handler().healthy()) {
      responses.sendText(HttpResponseStatus.OK, "");
    } else {
      responses.sendText(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    }
  }

  /** The request in flight; null if there is none. */
  InFlightRequest currentRequest() {
    return current;
  }

  /** Whether a request is in flight whose response has not begun. */
  boolean awaitsResponse() {
    return current != null && onClientDisconnect == null;
  }

  /** Whether a response is being streamed. */
  boolean isStreaming() {
    return onClientDisconnect != null;
  }

  /** Whether a request's body is being received that is not in flight yet. */
  boolean isReceivingRequest() {
    return incoming.isActive();
  }

  /** Whether the present request was received to its end. */
  boolean isRequestComplete() {
    return !incoming.isActive() && (upload == null || upload.isComplete());
  }

  /** Whether no request is in flight, being received, or waiting. */
  boolean isWithoutRequest() {
    return current == null && !incoming.isActive() && pipelined.isEmpty();
  }

  /** Whether the connection is to close with the present response. */
  boolean acceptsNoFurtherRequest() {
    return pipelined.isEmpty()
        && (context.server().isDraining() || inputEnded || connection.shouldCloseAfterResponse());
  }

  /** The response to the request in flight is streamed from now on. */
  void streamStarted(Runnable onDisconnect) {
    onClientDisconnect = onDisconnect;
  }

  /** Ends the streaming; what would have been run had the client disconnected. */
  Runnable endStreaming() {
    Runnable taken = onClientDisconnect;
    onClientDisconnect = null;
    return taken;
  }

  /** The request in flight ended without a complete response; the caller closes the connection. */
  void requestAbandoned() {
    current = null;
  }

  /**
   * The last write of a response was made: the connection closes, or the next request is handled.
   */
  void responseWritten(ChannelFuture lastWrite) {
    closing =
        persistence.isCloseAnnounced() || context.server().isDraining() && pipelined.isEmpty();
    current = null;
    upload = null;
    onClientDisconnect = null;
    presence.requestEnded();
    incoming.release();
    if (closing) {
      connection.closing();
      lastWrite.addListener(done -> closeAfterLastResponse(done.isSuccess()));
      return;
    }
    connection.responseSent(System.nanoTime());
    lastWrite.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    if (!pipelined.isEmpty() || !channel.config().isAutoRead()) {
      context.loop().execute(this::receivePipelined);
    }
  }

  private void closeAfterLastResponse(boolean written) {
    if (written && !inputEnded && channel instanceof SocketChannel socket) {
      context.closer().closeLingering(socket, connection);
    } else {
      channel.close();
    }
  }

  private void receivePipelined() {
    while (!pipelined.isEmpty() && !closing && current == null) {
      HttpObject message = pipelined.poll();
      try {
        receive(message);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }
    if (!updateReadAhead() && !isForwardingUpload()) {
      channel.config().setAutoRead(true);
    }
    if (current == null && pipelined.isEmpty() && inputEnded && !closing) {
      // What arrived last is no whole request.
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    if (connection != null) {
      connection.closed();
      context.server().connectionRemoved();
    }
    pipelined.release();
    incoming.release();
    reportDisconnect();
    context.server().sessionEnded();
  }

  private void reportDisconnect() {
    InFlightRequest request = current;
    RequestBodyUpload openUpload = upload;
    Runnable onDisconnect = endStreaming();
    current = null;
    upload = null;
    closing = true;
    if (onDisconnect != null) {
      context.handler().responseEnded(request, null);
      onDisconnect.run();
    } else if (request != null) {
      context.handler().clientDisconnected(request);
    }
    if (openUpload != null) {
      openUpload.clientDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    if (!(cause instanceof IOException || cause instanceof CodecException)) {
      LOG.warn("client_connection_failed", field("error", cause));
    }
    handlerContext.close();
  }
}
