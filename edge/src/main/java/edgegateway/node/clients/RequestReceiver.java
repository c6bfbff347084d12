package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ClientConnection;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Assembles the requests of a client's connection from decoded messages. It passes each request to
 * the {@link ClientSession} when it is complete or too long to be buffered, and answers itself what
 * is no request for an archive server. Not thread-safe: used on the event loop's thread only.
 */
final class RequestReceiver {
  private final ClientSession session;
  private final Channel channel;
  private final ClientConnection connection;
  private final ResponseSender responses;
  private final ConnectionPersistence persistence;
  private final ClientSessionContext context;
  private final IncomingRequest incoming = new IncomingRequest();
  private long messageSentAtNanos;

  RequestReceiver(
      ClientSession session,
      Channel channel,
      ClientConnection connection,
      ResponseSender responses,
      ConnectionPersistence persistence,
      ClientSessionContext context) {
    this.session = session;
    this.channel = channel;
    this.connection = connection;
    this.responses = responses;
    this.persistence = persistence;
    this.context = context;
  }

  /** Whether a request is being received that was not passed on yet. */
  boolean isReceiving() {
    return incoming.isActive();
  }

  /** Stops receiving the request and releases its buffers. Idempotent. */
  void release() {
    incoming.release();
  }

  /**
   * Handles the next message of the connection; the caller keeps ownership of its reference.
   *
   * @param sentAtNanos the earliest time at which the client can have sent the message
   */
  void receive(HttpObject message, long sentAtNanos) {
    messageSentAtNanos = sentAtNanos;
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

  /**
   * Rejects the request that is being received, before it is complete, because there is no capacity
   * for its connection or its body.
   */
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
                  session.newResponseWriter(),
                  clientWaitsNanos());
      session.rejectOverCapacity(rejected);
    } catch (BadRequestException e) {
      responses.sendText(e.status(), e.getMessage());
    }
  }

  /** How long the client may have been waiting since it sent the last message. */
  private long clientWaitsNanos() {
    return System.nanoTime() - messageSentAtNanos;
  }

  private void receiveBody(ByteBuf chunk, boolean last) {
    connection.bytesReceived(System.nanoTime(), chunk.readableBytes());
    if (!incoming.append(chunk, last, channel.alloc())) {
      rejectOverCapacity();
      return;
    }
    if (last || incoming.isTooLongToBuffer()) {
      requestReceived(last);
    }
  }

  /**
   * Handles a request that is complete, or whose body is too long to be buffered completely.
   *
   * @param complete whether the end of the body was received
   */
  private void requestReceived(boolean complete) {
    HttpRequest head = incoming.head();
    ByteBuf body = incoming.body();
    BufferedBodies.Body bufferedBytes = incoming.bufferedBytes();
    incoming.detach();
    connection.requestReceived();
    try {
      if (isHealthCheck(head) && complete) {
        bufferedBytes.release();
        answerHealthCheck(head.method());
      } else {
        RequestBodyUpload upload = complete ? null : beginUpload(head);
        session.accept(
            context
                .parser()
                .parse(
                    head,
                    body.retain(),
                    bufferedBytes,
                    upload,
                    session.newResponseWriter(),
                    clientWaitsNanos()));
      }
    } catch (BadRequestException e) {
      body.release();
      bufferedBytes.release();
      responses.sendText(e.status(), e.getMessage());
    } finally {
      body.release();
    }
  }

  private RequestBodyUpload beginUpload(HttpRequest head) {
    return session.beginUpload(HttpUtil.getContentLength(head, -1L), incoming.receivedBytes());
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
}
