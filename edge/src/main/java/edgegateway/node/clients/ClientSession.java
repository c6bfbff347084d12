package edgegateway.node.clients;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ChannelTransport;
import edgegateway.node.connections.ClientConnection;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import edgegateway.node.logging.EventLog;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.ssl.SslCloseCompletionEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * The last handler in the pipeline of a client's connection. It receives decoded messages and has
 * one request in flight at a time, in the order of their arrival. Messages after that request wait
 * in {@link PipelinedMessages}; {@link RequestReceiver} turns them into requests and {@link
 * ResponseSender} writes the responses. Not thread-safe: used on the event loop's thread only.
 */
final class ClientSession extends SimpleChannelInboundHandler<HttpObject> {
  private static final EventLog LOG = EventLog.console();
  private static final String DUPLICATE_ID = "a request of this id is open";

  /**
   * Further requests of a client wait while this many of its responses are unwritten, since most
   * responses are too short to be counted as buffered.
   */
  private static final int MAX_UNWRITTEN_RESPONSES = 64;

  private final ClientSessionContext context;
  private final StrictRequestDecoder decoder;
  private final ConnectionPersistence persistence = new ConnectionPersistence();
  private final PipelinedMessages pipelined;
  private final InputBacklog backlog = new InputBacklog();
  private final ClientReadBuffers readBuffers = new ClientReadBuffers(this::isReceivingBody);
  private final ReadTracker reads;
  private Channel channel;
  private ResponseSender responses;
  private RequestReceiver receiver;
  private ClientPresenceCheck presence;

  /** Null if the connection table was full when the connection was opened. */
  private ClientConnection connection;

  /** The request in flight; null if there is none. */
  private InFlightRequest current;

  /** Streams the rest of the current request's body; null if the body was buffered completely. */
  private RequestBodyUpload upload;

  /** Run if the client disconnects while its response is streamed; null if none is streamed. */
  private Runnable onClientDisconnect;

  /** The last write of the previous response; null before the first response. */
  private ChannelFuture lastResponseWrite;

  /** Whether the connection is closing, so that all further input is ignored. */
  private boolean closing;

  /** Whether the client's input ended, by a half-close or a close of the connection. */
  private boolean inputEnded;

  /** Whether the messages of a read of the connection are being handled. */
  private boolean inRead;

  /** Whether a response was submitted during the current read of the connection. */
  private boolean respondedInRead;

  /** Whether a turn of the {@link PipelineScheduler} is pending. */
  private boolean awaitsTurn;

  ClientSession(ClientSessionContext context, StrictRequestDecoder decoder) {
    this.context = context;
    this.decoder = decoder;
    pipelined = new PipelinedMessages(context.bufferedBodies());
    reads = new ReadTracker(backlog, readBuffers, context.loop(), this::isReadRequested);
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
    connection =
        context
            .connections()
            .accept(
                System.nanoTime(),
                channel.remoteAddress(),
                context.tls(),
                new ChannelTransport(channel));
    responses = new ResponseSender(this, channel, connection, persistence);
    receiver = new RequestReceiver(this, channel, connection, responses, persistence, context);
    presence = new ClientPresenceCheck(this, channel, responses, persistence, context);
    long nowNanos = System.nanoTime();
    long openedAtNanos =
        Math.min(context.server().openedAtNanos(nowNanos), presence.lastReadUpToNanos(nowNanos));
    if (openedAtNanos < nowNanos) {
      backlog.fellBehind(openedAtNanos);
      readRequested();
    }
    if (connection == null) {
      closing = true;
      channel.close();
    }
    context.server().connectionOpened();
  }

  /**
   * Ends the request in flight and all further ones at once, and closes the socket when the
   * complete responses to earlier requests are written. See UnwrittenResponseTest.
   */
  void closeWhenWritten(CloseReason reason) {
    if (!connection.hasUnwrittenResponse()) {
      close(reason);
      return;
    }
    discardRequests();
    connection.closing();
    lastResponseWrite.addListener(written -> close(reason));
  }

  private void close(CloseReason reason) {
    connection.closedBy(reason);
    channel.close();
  }

  /** Resets the connection, so that the client recognizes a truncated response. */
  void reset(CloseReason reason) {
    connection.closedBy(reason);
    ConnectionCloser.reset(channel);
  }

  /** Called when the TLS handshake of the connection is complete. */
  void handshakeCompleted() {
    connection.handshakeCompleted();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (closing) {
      return;
    }
    inRead = true;
    if (isForwardingUpload()) {
      upload.forward(message, backlog.sentAtNanos(System.nanoTime()));
    } else if (mayReceiveAtOnce()) {
      receiver.receive(message, backlog.sentAtNanos(System.nanoTime()));
    } else {
      long sentAtNanos = backlog.sentAtNanos(System.nanoTime());
      pipelined.add(ReferenceCountUtil.retain(message), sentAtNanos);
      if (updateAndCheckReadAheadFull()) {
        stopReading();
      }
    }
  }

  /**
   * Whether the next message is handled while it is read. A client that does not read its responses
   * gets no further ones, and one that pipelines requests gets one response a read, so that neither
   * takes memory without limit nor the event loop from the others.
   */
  private boolean mayReceiveAtOnce() {
    return current == null && pipelined.isEmpty() && !respondedInRead && mayRespond();
  }

  private boolean isForwardingUpload() {
    return upload != null && upload.isForwarding();
  }

  /**
   * Updates the bytes of queued messages that are counted as buffered.
   *
   * @return true if the connection must not be read any further; false if reading may continue
   */
  boolean updateAndCheckReadAheadFull() {
    long customer = current == null ? BufferedBodies.UNKNOWN_CUSTOMER : current.request.customer();
    return pipelined.updateAndCheckReadAheadFull(customer);
  }

  /** Stops reading the connection; while it is not read, no close or reset is detected. */
  void stopReading() {
    if (channel.config().isAutoRead()) {
      backlog.fellBehind(presence.lastReadUpToNanos(System.nanoTime()));
      channel.config().setAutoRead(false);
    }
  }

  /** Reads the connection on. */
  void resumeReading() {
    channel.config().setAutoRead(true);
    readRequested();
  }

  /** Since when bytes of the client, or the end of its connection, may have been unread. */
  InputBacklog backlog() {
    return backlog;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (isForwardingUpload()) {
      upload.readComplete();
    } else if (!closing && connection.awaitsRequest() && decoder.hasUndecodedBytes()) {
      connection.bytesReceived(System.nanoTime(), 0);
    }
    inRead = false;
    respondedInRead = false;
    reads.readCompleted(presence.lastReadUpToNanos(System.nanoTime()));
    requestTurn();
  }

  private boolean isReadRequested() {
    return isForwardingUpload() ? upload.isReadRequested() : channel.config().isAutoRead();
  }

  /** Called when reading goes on after a pause. */
  void readRequested() {
    reads.readRequested();
  }

  /** Whether the client has read enough of its responses to get a further one. */
  private boolean mayRespond() {
    return connection.unwrittenResponses() < MAX_UNWRITTEN_RESPONSES;
  }

  /** Has the queued messages handled in turn with other connections, if they may be handled. */
  private void requestTurn() {
    if (!awaitsTurn && !closing && current == null && !pipelined.isEmpty() && mayRespond()) {
      awaitsTurn = true;
      context.pipelineScheduler().add(this::takeTurn);
    }
  }

  private void takeTurn() {
    awaitsTurn = false;
    receivePipelined();
    requestTurn();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    boolean closeNotified = context.tls() && event == SslCloseCompletionEvent.SUCCESS;
    if ((event instanceof ChannelInputShutdownEvent || closeNotified) && !inputEnded) {
      inputEnded = true;
      presence.inputEnded();
      handleInputEnd();
    }
  }

  /**
   * Handles the end of the client's input, which is a half-close or a close of the connection; the
   * two cannot be told apart yet. Complete requests are still answered
   * (ConnectionsTest#aHalfClosedClientGetsItsResponses), and probes detect whether the client
   * closed the connection (ConnectionsTest#aClosedClientIsDetectedAtOnce).
   */
  private void handleInputEnd() {
    boolean uploadPending = upload != null && !upload.isComplete();
    boolean requestComplete = current != null && !uploadPending || !pipelined.isEmpty();
    boolean uploadTruncated = uploadPending && !pipelined.hasEndOfBody();
    boolean responseOwed = requestComplete && !uploadTruncated;
    if (responseOwed || connection.hasUnwrittenResponse()) {
      connection.halfClosed();
    }
    if (!responseOwed) {
      closeWhenWritten(CloseReason.INPUT_ENDED);
      return;
    }
    if (persistence.isHttp10() && awaitsResponse()) {
      // An HTTP/1.0 client supports no interim responses, so it cannot be probed.
      context.handler().clientPossiblyDisconnected(current);
      return;
    }
    presence.probeAfterHalfClose();
  }

  /** Passes a request that was received to the handler, which will answer it. */
  void accept(InFlightRequest request) {
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

  /** Has the handler reject a request, because there is no capacity for it. */
  void rejectOverCapacity(InFlightRequest request) {
    current = request;
    if (!context.handler().rejectOverCapacity(request)) {
      current = null;
      responses.sendText(HttpResponseStatus.CONFLICT, DUPLICATE_ID);
    }
  }

  ClientResponseWriter newResponseWriter() {
    return new ClientResponseWriter(this, channel, responses, presence, context);
  }

  /** Begins the upload of the request that is about to be accepted. */
  RequestBodyUpload beginUpload(long contentLength, long receivedBytes) {
    upload = new RequestBodyUpload(this, channel, pipelined, context, contentLength, receivedBytes);
    return upload;
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

  /** Whether a request is being received that is not in flight yet. */
  boolean isReceivingRequest() {
    return receiver.isReceiving();
  }

  /** The allocator to be set for the connection's reads. */
  ClientReadBuffers readBuffers() {
    return readBuffers;
  }

  /** Whether the bytes that the client sends next belong to the body of a request. */
  boolean isReceivingBody() {
    return receiver.isReceiving() || upload != null && !upload.isComplete();
  }

  /** Whether the current request was received completely. */
  boolean isRequestComplete() {
    return !receiver.isReceiving() && (upload == null || upload.isComplete());
  }

  /** Whether no request is in flight, being received or queued. */
  boolean isWithoutRequest() {
    return current == null && !receiver.isReceiving() && pipelined.isEmpty();
  }

  /** Whether the connection is to close after the current response. */
  boolean acceptsNoFurtherRequest() {
    return pipelined.isEmpty()
        && (context.server().isDraining() || inputEnded || connection.shouldCloseAfterResponse());
  }

  /**
   * Starts streaming the response to the request in flight.
   *
   * @param onDisconnect run if the client disconnects before {@link #endStreaming}
   */
  void startStreaming(Runnable onDisconnect) {
    onClientDisconnect = onDisconnect;
  }

  /**
   * Ends the streaming of the response.
   *
   * @return the action that was to be run if the client disconnected; null if nothing was streamed
   */
  Runnable endStreaming() {
    Runnable taken = onClientDisconnect;
    onClientDisconnect = null;
    return taken;
  }

  /**
   * Called when the request in flight ends without a complete response; the caller closes the
   * connection.
   */
  void requestAbandoned() {
    current = null;
  }

  /**
   * Called when a response was passed to the channel completely: closes the connection once the
   * response is written, or handles the next request.
   *
   * @param lastWrite completes when the response is written
   */
  void responseSubmitted(ChannelFuture lastWrite) {
    lastResponseWrite = lastWrite;
    closing =
        persistence.isCloseAnnounced()
            || (context.server().isDraining() || inputEnded) && pipelined.isEmpty();
    current = null;
    upload = null;
    onClientDisconnect = null;
    presence.requestEnded();
    receiver.release();
    if (closing) {
      connection.closing();
      lastWrite.addListener(done -> closeAfterLastResponse(done.isSuccess()));
      return;
    }
    connection.responseSubmitted(System.nanoTime());
    lastWrite.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    lastWrite.addListener(done -> requestTurn());
    respondedInRead = inRead;
    if (!pipelined.isEmpty()) {
      requestTurn();
    } else if (!channel.config().isAutoRead()) {
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

  /** Handles queued messages up to the end of one request. */
  private void receivePipelined() {
    ChannelFuture previousResponse = lastResponseWrite;
    while (!pipelined.isEmpty()
        && !closing
        && current == null
        && lastResponseWrite == previousResponse
        && mayRespond()) {
      long sentAtNanos = pipelined.oldestSentAtNanos();
      HttpObject message = pipelined.poll();
      try {
        receiver.receive(message, sentAtNanos);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }
    if (!updateAndCheckReadAheadFull() && !isForwardingUpload()) {
      resumeReading();
    }
    if (current == null && pipelined.isEmpty() && inputEnded && !closing) {
      // The input ended within a request.
      closeWhenWritten(CloseReason.INPUT_ENDED);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    if (connection != null) {
      connection.closed();
      context.server().connectionRemoved();
    }
    discardRequests();
    context.server().sessionEnded();
  }

  /** Discards what was received and reports that the request in flight gets no response. */
  private void discardRequests() {
    pipelined.release();
    receiver.release();
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
