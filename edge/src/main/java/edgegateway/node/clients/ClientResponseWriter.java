package edgegateway.node.clients;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Writes the only response to a request to its client. Not thread-safe: used on the event loop's
 * thread only.
 */
final class ClientResponseWriter implements InFlightRequest.ResponseWriter {
  private final ClientSession session;
  private final Channel channel;
  private final ResponseSender responses;
  private final ClientPresenceCheck presence;
  private final ClientRequestHandler handler;
  private final BufferedBodies bufferedBodies;

  /** The request whose response is streamed; null if no streaming began. */
  private InFlightRequest streamedRequest;

  /** Whether the streamed body is delimited by the connection's close only. */
  private boolean closeDelimited;

  ClientResponseWriter(
      ClientSession session,
      Channel channel,
      ResponseSender responses,
      ClientPresenceCheck presence,
      ClientSessionContext context) {
    this.session = session;
    this.channel = channel;
    this.responses = responses;
    this.presence = presence;
    handler = context.handler();
    bufferedBodies = context.bufferedBodies();
  }

  @Override
  public void sendResponse(ByteBuf body) {
    // The body counts as buffered until it is written to the client.
    long customer = session.currentRequest().request.customer();
    BufferedBodies.Body bufferedBytes = bufferedBodies.newBody(customer);
    bufferedBytes.resize(body.readableBytes());
    responses
        .send(HttpResponseStatus.OK, body.retain(), 0)
        .addListener(done -> bufferedBytes.release());
  }

  @Override
  public void sendRejection(long retryAfterNanos) {
    // A request that is still being received is rejected because the node is over capacity, not
    // because its customer sent too many requests: status 503 instead of 429.
    boolean tooManyRequests = retryAfterNanos > 0 && !session.isReceivingRequest();
    HttpResponseStatus status =
        tooManyRequests
            ? HttpResponseStatus.TOO_MANY_REQUESTS
            : HttpResponseStatus.SERVICE_UNAVAILABLE;
    responses.send(status, Unpooled.EMPTY_BUFFER, retryAfterNanos);
  }

  @Override
  public void sendFailure() {
    responses.send(HttpResponseStatus.BAD_GATEWAY, Unpooled.EMPTY_BUFFER, 0);
  }

  @Override
  public Channel startStream(long length, Runnable onClientDisconnect) {
    streamedRequest = session.currentRequest();
    session.startStreaming(onClientDisconnect);
    closeDelimited = responses.startStream(length);
    return channel;
  }

  @Override
  public void endStream(boolean complete) {
    if (!isStreaming()) {
      return;
    }
    InFlightRequest request = streamedRequest;
    session.endStreaming();
    if (complete) {
      ChannelFuture lastWrite = responses.endStream();
      lastWrite.addListener(
          done -> handler.responseEnded(request, done.isSuccess() ? RequestEnd.FORWARDED : null));
      session.responseSubmitted(lastWrite);
      return;
    }
    handler.responseEnded(request, RequestEnd.FAILED);
    session.requestAbandoned();
    if (closeDelimited) {
      // A regular close would mark the truncated body as complete.
      session.reset(CloseReason.RESPONSE_INCOMPLETE);
    } else {
      session.closeWhenWritten(CloseReason.RESPONSE_INCOMPLETE);
    }
  }

  @Override
  public boolean wouldHaveSeenDisconnect() {
    return presence.wouldHaveSeenDisconnect();
  }

  @Override
  public void checkClientPresence(Runnable then) {
    presence.check(then);
  }

  @Override
  public void abortStream() {
    Runnable onClientDisconnect = session.endStreaming();
    session.requestAbandoned();
    handler.responseEnded(streamedRequest, RequestEnd.FAILED);
    session.reset(CloseReason.RESPONSE_DEADLINE);
    onClientDisconnect.run();
  }

  @Override
  public boolean isStreaming() {
    return session.isStreaming() && session.currentRequest() == streamedRequest;
  }
}
