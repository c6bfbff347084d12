package edgegateway.node.upstream;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.connections.TransportHandle;
import edgegateway.node.connections.UpstreamConnection;
import edgegateway.node.requests.BodyRelay;
import edgegateway.policy.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Last handler of a connection to an archive server: writes one attempt at a time and collects its
 * response. A short body is buffered, so that another attempt may still replace it; a long one is
 * forwarded in pieces. What can't be a response to the attempt closes the connection.
 */
final class UpstreamConnectionHandler extends SimpleChannelInboundHandler<HttpObject>
    implements TransportHandle {
  private static final int INITIAL_BODY_BUFFER_BYTES = 512;

  private final UpstreamContext context;
  private final StrictHttpResponseDecoder decoder;
  private Channel channel;

  /** This connection in the pool; null until it is established. */
  private UpstreamConnection pooled;

  /** What was written and has not ended; null while the connection is idle. */
  private UpstreamAttempt attempt;

  /** The head of the final response; null before it came. */
  private HttpResponse response;

  /** The body so far, while it is buffered, and its account; null before its first piece. */
  private ByteBuf body;

  private BufferedBodies.Body bodyAccount;
  private boolean informational;

  /** Whether the last byte of the response came. */
  private boolean complete;

  /** Whether something followed a response: never reset, for the connection is not used again. */
  private boolean unsolicitedBytes;

  /** Where a long response goes on to; null while the body is buffered. */
  private BodyRelay relay;

  UpstreamConnectionHandler(UpstreamContext context, StrictHttpResponseDecoder decoder) {
    this.context = context;
    this.decoder = decoder;
  }

  /** Not in channelActive: the listeners of a connect run before that. */
  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
  }

  /** The connection is established, and is this one in the pool. */
  void established(UpstreamConnection connection) {
    pooled = connection;
    pooled.attachTransport(this);
  }

  @Override
  public void close() {
    channel.close();
  }

  /** The attempt was written completely and had no response in time. */
  void attemptTimedOut() {
    pooled.timedOut(System.nanoTime());
  }

  /** The attempt has ended for another reason than its response. */
  void attemptEnded() {
    attempt = null;
  }

  /** Writes an attempt; the connection has no other. */
  void write(UpstreamAttempt next) {
    attempt = next;
    next.connectionAssigned(this);
    UpstreamRequestWriter.write(channel, next);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject part) {
    if (complete) {
      unsolicitedBytes = true;
      return;
    }
    if (part.decoderResult().isFailure()) {
      fail();
      return;
    }
    if (part instanceof HttpResponse head && !headReceived(head)) {
      fail();
      return;
    }
    if (part instanceof HttpContent content
        && !informational
        && response != null
        && attempt != null) {
      bodyReceived(content.content());
      complete = content instanceof LastHttpContent;
    }
  }

  /** False if it can't be the head of a response to the attempt. */
  private boolean headReceived(HttpResponse head) {
    informational = UpstreamResponseClassifier.isInformational(head);
    if (informational) {
      return true;
    }
    if (attempt == null || response != null) {
      return false;
    }
    if (!attempt.isWritten() && UpstreamResponseClassifier.isSuccess(head)) {
      // What was not written completely can't have been executed.
      return false;
    }
    response = head;
    return true;
  }

  private void bodyReceived(ByteBuf bytes) {
    if (relay != null) {
      relay.forward(bytes.retain());
      return;
    }
    if (!UpstreamResponseClassifier.isSuccess(response)) {
      // All that matters of it is its head.
      return;
    }
    long length = HttpUtil.getContentLength(response, -1L);
    if (body == null) {
      long wanted = Math.max(length, INITIAL_BODY_BUFFER_BYTES);
      body =
          channel.alloc().buffer((int) Math.min(UpstreamPool.MAX_BUFFERED_RESPONSE_BYTES, wanted));
      bodyAccount = context.bufferedBodies().newBody(attempt.request().request.customer());
    }
    body.writeBytes(bytes);
    boolean accepted = bodyAccount.tryResize(body.capacity());
    // Not by the length that it announces: a faulty response may announce what never comes, and no
    // timeout binds one that is forwarded. Shown by
    // LongBodyTest#aResponseShorterThanItsLengthIsNotForwarded.
    boolean tooLong = body.readableBytes() > UpstreamPool.MAX_BUFFERED_RESPONSE_BYTES;
    if (body.isReadable() && (!accepted || tooLong)) {
      startForwarding(length);
    }
  }

  /** From here on the response can't be replaced by that of another attempt. */
  private void startForwarding(long length) {
    UpstreamAttempt forwarded = attempt;
    Channel client =
        context
            .listener()
            .responseStarted(
                forwarded.request(),
                length,
                forwarded.elapsedNanos(),
                forwarded.endpointId(),
                channel::close);
    if (client == null) {
      forwarded.cancel();
      channel.close();
      return;
    }
    forwarded.responseForwarded();
    relay = context.relays().start(channel, client);
    relay.forward(body);
    body = null;
    bodyAccount.release();
  }

  /**
   * A response ends its attempt only when the whole read was decoded: else what follows it would be
   * taken for the response to the next attempt. Shown by
   * EdgeNodeTest#bytesAfterAResponseAreNotTakenForTheNextResponse.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (relay != null) {
      relay.readComplete();
    }
    if (complete) {
      finish();
    } else if (attempt == null && decoder.hasUndecodedBytes()) {
      handlerContext.close();
    }
  }

  /** The response is complete: the connection goes back to the pool before the attempt ends. */
  private void finish() {
    HttpResponse finished = response;
    ByteBuf finishedBody = body == null ? Unpooled.EMPTY_BUFFER : body;
    BufferedBodies.Body finishedAccount = bodyAccount;
    UpstreamAttempt answered = attempt;
    boolean forwarded = relay != null;
    if (forwarded) {
      relay.end();
    }
    // Another attempt may be written from within the calls that follow.
    resetForNextAttempt();
    answered.connectionReleased();
    boolean reusable = isReusableAfter(finished, answered);
    if (reusable) {
      channel.config().setAutoRead(true);
    } else {
      channel.close();
    }
    pooled.responseReceived(System.nanoTime(), reusable);
    if (forwarded) {
      answered.request().streamedResponse().endStream(true);
    }
    Outcome outcome = UpstreamResponseClassifier.outcome(finished);
    double actualUnits =
        outcome == Outcome.OK ? UpstreamResponseClassifier.actualUnits(finished) : 0;
    answered.responseReceived(outcome, actualUnits, finishedBody);
    finishedBody.release();
    if (finishedAccount != null) {
      finishedAccount.release();
    }
  }

  private void resetForNextAttempt() {
    response = null;
    body = null;
    bodyAccount = null;
    relay = null;
    complete = false;
    attempt = null;
  }

  private boolean isReusableAfter(HttpResponse finished, UpstreamAttempt answered) {
    return HttpUtil.isKeepAlive(finished)
        && !unsolicitedBytes
        && !decoder.hasUndecodedBytes()
        && answered.isWritten()
        && channel.isActive();
  }

  /**
   * The connection broke, or its response can't be read: what has come of it is no complete
   * response. Shown by ResponseEndTest#aResponseCutAtAnyByteIsNoResponse.
   */
  private void fail() {
    UpstreamAttempt broken = attempt;
    if (relay != null) {
      relay.end();
      relay = null;
      if (broken != null) {
        broken.request().streamedResponse().endStream(false);
      }
    }
    releaseBody();
    response = null;
    complete = false;
    channel.close();
    if (broken != null) {
      broken.connectionLost();
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
      bodyAccount.release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    if (complete) {
      finish();
    } else {
      fail();
    }
    if (pooled != null) {
      pooled.closed(System.nanoTime());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    fail();
  }
}
