package edgegateway.node.upstream;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.StrictHttpResponseDecoder;
import edgegateway.node.connections.TransportHandle;
import edgegateway.node.connections.UpstreamConnection;
import edgegateway.node.requests.BodyRelay;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.ResponseProgress;
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
import java.util.concurrent.TimeUnit;

/**
 * Last channel handler of a connection to an archive server: writes the request of one attempt at a
 * time and receives the response. A short body is buffered, so that another attempt can still
 * replace the current one; a long body is streamed to the client. Data that cannot be a response to
 * the attempt closes the connection.
 */
final class UpstreamConnectionHandler extends SimpleChannelInboundHandler<HttpObject>
    implements TransportHandle {
  private static final int INITIAL_BODY_BUFFER_BYTES = 512;
  private static final long HOLD_CHECK_INTERVAL_MILLIS = 500;

  private final UpstreamContext context;
  private final StrictHttpResponseDecoder decoder;
  private Channel channel;

  /** The pool's entry for this connection; null until the connection is established. */
  private UpstreamConnection pooledConnection;

  /** The attempt that uses this connection; null if it is idle or the attempt has ended. */
  private UpstreamAttempt attempt;

  /** The head of the final response; null until received. */
  private HttpResponse response;

  /** The buffered part of the body; null before its first chunk and while it is streamed. */
  private ByteBuf body;

  /** The memory accounted for {@link #body}; null before the first chunk. */
  private BufferedBodies.Body bodyAccount;

  /** Whether the last head received is that of an informational (1xx) response. */
  private boolean informational;

  /** Whether the last byte of the response was received. */
  private boolean responseComplete;

  /**
   * Whether more messages followed a complete response. Never reset, since the connection is then
   * not reused.
   */
  private boolean unsolicitedBytes;

  /** Streams a long response body to the client; null while the body is buffered. */
  private BodyRelay relay;

  /** When the first bytes of the body arrived. */
  private long bodyStartedNanos;

  /** When the latest bytes of the body arrived. */
  private long bodyContinuedNanos;

  /** Whether {@link #checkHold} is scheduled; then it serves the next response, too. */
  private boolean holdCheckScheduled;

  /** When a part of the response last arrived. */
  private long lastReceivedNanos;

  /** How many bytes the connection had received when the attempt was written. */
  private long receivedBytesBeforeAttempt;

  UpstreamConnectionHandler(UpstreamContext context, StrictHttpResponseDecoder decoder) {
    this.context = context;
    this.decoder = decoder;
  }

  /** Sets the channel; channelActive would be too late, as the listeners of a connect run first. */
  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
  }

  /** Called when the connection is established, with its entry in the pool. */
  void established(UpstreamConnection connection) {
    pooledConnection = connection;
    pooledConnection.attachTransport(this);
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Called when the attempt was written completely but got no response in time. */
  void attemptTimedOut() {
    pooledConnection.timedOut(System.nanoTime());
  }

  /**
   * Called at the attempt's timeout: returns how long the attempt goes on to wait for the rest of
   * the response's head, in nanoseconds; 0 or less if none of it has arrived or it is not waited
   * for.
   */
  long headWaitNanos() {
    boolean headStarted = decoder.receivedBytes() > receivedBytesBeforeAttempt;
    return response == null && headStarted
        ? context.listener().headWaitNanos(attempt.request(), silentNanos())
        : 0;
  }

  /**
   * Called at the attempt's timeout: streams the response from now on if it has begun and may be
   * long; returns false if the attempt is to be ended.
   */
  boolean streamInsteadOfTimeout() {
    if (response == null || relay != null || !UpstreamResponseClassifier.isSuccess(response)) {
      return false;
    }
    if (!context.listener().streamsAtTimeout(attempt.request(), attempt.endpointId(), progress())) {
      return false;
    }
    streamBetweenReads();
    return true;
  }

  /** Starts to stream the response while no read of the connection is in progress. */
  private void streamBetweenReads() {
    startStreaming();
    if (relay != null) {
      relay.readComplete();
    }
  }

  /** Checks from time to time whether the beginning of a long response is buffered for too long. */
  private void scheduleHoldCheck() {
    holdCheckScheduled = true;
    context.loop().schedule(this::checkHold, HOLD_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void checkHold() {
    holdCheckScheduled = false;
    if (attempt == null || body == null) {
      return;
    }
    if (context.listener().streamsBuffered(progress(), System.nanoTime() - bodyStartedNanos)) {
      streamBetweenReads();
    } else {
      scheduleHoldCheck();
    }
  }

  /** Called when the attempt ended before its response was complete. */
  void attemptEnded() {
    attempt = null;
  }

  /** Writes the request of an attempt. No other attempt may be using the connection. */
  void write(UpstreamAttempt next) {
    attempt = next;
    receivedBytesBeforeAttempt = decoder.receivedBytes();
    next.connectionAssigned(this);
    UpstreamRequestWriter.write(channel, next);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (responseComplete) {
      unsolicitedBytes = true;
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail();
      return;
    }
    if (response != null) {
      context.metrics().responseContinued(silentNanos());
    }
    lastReceivedNanos = System.nanoTime();
    if (message instanceof HttpResponse head && !headReceived(head)) {
      fail();
      return;
    }
    if (message instanceof HttpContent content
        && !informational
        && response != null
        && attempt != null) {
      bodyReceived(content.content());
      responseComplete = attempt != null && content instanceof LastHttpContent;
    }
  }

  /** Returns false if this cannot be the head of a response to the attempt. */
  private boolean headReceived(HttpResponse head) {
    informational = UpstreamResponseClassifier.isInformational(head);
    if (informational) {
      return true;
    }
    if (attempt == null || response != null) {
      return false;
    }
    if (!attempt.isWritten() && UpstreamResponseClassifier.isSuccess(head)) {
      // A request that was not written completely cannot have been executed.
      return false;
    }
    response = head;
    return true;
  }

  private void bodyReceived(ByteBuf chunk) {
    if (chunk.isReadable()) {
      bodyContinuedNanos = lastReceivedNanos;
      if (receivedBodyBytes() == 0) {
        bodyStartedNanos = lastReceivedNanos;
      }
    }
    if (relay != null) {
      relay.forward(chunk.retain());
      return;
    }
    if (!UpstreamResponseClassifier.isSuccess(response)) {
      // Only the head of an unsuccessful response is used.
      return;
    }
    if (body == null) {
      long wantedBytes = Math.max(declaredBytes(), INITIAL_BODY_BUFFER_BYTES);
      body =
          channel
              .alloc()
              .buffer((int) Math.min(UpstreamPool.MAX_BUFFERED_RESPONSE_BYTES, wantedBytes));
      bodyAccount = context.bufferedBodies().newBody(attempt.request().request.customer());
    }
    body.writeBytes(chunk);
    boolean withinMemoryLimit = bodyAccount.tryResize(body.capacity());
    // Compare the bytes received, not the declared length: a faulty response may declare more than
    // it sends, and a streamed response has no timeout. Tested by
    // LongBodyTest#aResponseShorterThanItsLengthIsNotForwarded.
    boolean tooLong = body.readableBytes() > UpstreamPool.MAX_BUFFERED_RESPONSE_BYTES;
    if (body.isReadable() && (!withinMemoryLimit || tooLong)) {
      startStreaming();
    }
  }

  /**
   * Starts to stream the response to the client. From then on, no other attempt can replace the
   * current one. If the client has disconnected, ends the attempt and discards the response.
   */
  private void startStreaming() {
    UpstreamAttempt streamedAttempt = attempt;
    Channel client =
        context
            .listener()
            .responseStarted(
                streamedAttempt.request(),
                declaredBytes(),
                streamedAttempt.elapsedNanos(),
                streamedAttempt.endpointId(),
                this::progress,
                channel::close);
    if (client == null) {
      streamedAttempt.cancel();
      fail();
      return;
    }
    streamedAttempt.responseStreamingStarted();
    relay = context.relays().start(channel, client);
    if (body != null) {
      relay.forward(body);
      body = null;
      bodyAccount.release();
    }
  }

  /** How far the response to the attempt has come. */
  private ResponseProgress progress() {
    long receivedBytes = receivedBodyBytes();
    long writingNanos = receivedBytes == 0 ? 0 : bodyContinuedNanos - bodyStartedNanos;
    return new ResponseProgress(declaredBytes(), receivedBytes, silentNanos(), writingNanos);
  }

  private long receivedBodyBytes() {
    long bufferedBytes = body == null ? 0 : body.readableBytes();
    return relay == null ? bufferedBytes : relay.receivedBytes();
  }

  private long declaredBytes() {
    return response == null
        ? ResponseProgress.UNKNOWN_LENGTH
        : HttpUtil.getContentLength(response, ResponseProgress.UNKNOWN_LENGTH);
  }

  /** How long the server has sent nothing although it was read. */
  private long silentNanos() {
    return relay == null ? System.nanoTime() - lastReceivedNanos : relay.sourceSilentNanos();
  }

  /**
   * Ends the attempt of a complete response. This waits until all data of the read is decoded,
   * because data that follows the response would otherwise be taken for the response to the next
   * attempt. Tested by EdgeNodeTest#bytesAfterAResponseAreNotTakenForTheNextResponse.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    lastReceivedNanos = System.nanoTime();
    if (relay != null) {
      relay.readComplete();
    }
    if (responseComplete) {
      finish();
    } else if (body != null && !holdCheckScheduled) {
      scheduleHoldCheck();
    } else if (attempt == null && decoder.hasUndecodedBytes()) {
      handlerContext.close();
    }
  }

  /** Handles a complete response: returns the connection to the pool, then ends the attempt. */
  private void finish() {
    HttpResponse finishedResponse = response;
    ByteBuf finishedBody = body == null ? Unpooled.EMPTY_BUFFER : body;
    BufferedBodies.Body finishedAccount = bodyAccount;
    UpstreamAttempt finishedAttempt = attempt;
    boolean streamed = relay != null;
    if (streamed) {
      relay.end();
    }
    // The calls below may already write another attempt to this connection.
    resetForNextAttempt();
    finishedAttempt.connectionReleased();
    boolean reusable = isReusableAfter(finishedResponse, finishedAttempt);
    if (reusable) {
      channel.config().setAutoRead(true);
    } else {
      channel.close();
    }
    pooledConnection.responseReceived(System.nanoTime(), reusable);
    if (streamed) {
      finishedAttempt.request().streamedResponse().endStream(true);
    }
    Outcome outcome = UpstreamResponseClassifier.outcome(finishedResponse);
    double actualUnits =
        outcome == Outcome.OK ? UpstreamResponseClassifier.actualUnits(finishedResponse) : 0;
    finishedAttempt.responseReceived(outcome, actualUnits, finishedBody);
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
    responseComplete = false;
    attempt = null;
  }

  private boolean isReusableAfter(HttpResponse finishedResponse, UpstreamAttempt finishedAttempt) {
    return HttpUtil.isKeepAlive(finishedResponse)
        && !unsolicitedBytes
        && !decoder.hasUndecodedBytes()
        && finishedAttempt.isWritten()
        && channel.isActive();
  }

  /**
   * Handles a broken connection or invalid data: discards a partial response, closes the connection
   * and ends the attempt. Tested by ResponseEndTest#aResponseCutAtAnyByteIsNoResponse.
   */
  private void fail() {
    UpstreamAttempt failedAttempt = attempt;
    if (relay != null) {
      relay.end();
      relay = null;
      if (failedAttempt != null) {
        failedAttempt.request().streamedResponse().endStream(false);
      }
    }
    releaseBody();
    response = null;
    responseComplete = false;
    channel.close();
    if (failedAttempt != null) {
      failedAttempt.connectionLost();
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
    if (responseComplete) {
      finish();
    } else {
      fail();
    }
    if (pooledConnection != null) {
      pooledConnection.closed(System.nanoTime());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    fail();
  }
}
