package edgegateway.node.clients;

import edgegateway.node.connections.ConnectionMetrics.CloseReason;
import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Streams the part of a long request body that follows its buffered beginning. That part is
 * forwarded while it is received and is not kept, so only a single attempt can forward it. Not
 * thread-safe: used on the event loop's thread only.
 */
final class RequestBodyUpload implements InFlightRequest.BodyUpload {
  /** The longest request body that is accepted. */
  static final long MAX_BODY_BYTES = 32L << 20;

  private final ClientSession session;
  private final Channel channel;
  private final PipelinedMessages pipelined;
  private final BodyRelay.Group relays;
  private final ClientRequestHandler handler;
  private final long contentLength;
  private long receivedBytes;
  private InFlightRequest request;

  /** Null while the body is not being forwarded. */
  private BodyRelay relay;

  private Channel upstream;
  private Runnable onWritten;
  private Runnable onAborted;
  private boolean complete;
  private boolean forwardingStarted;

  /** Whether the attempt was told that the body was written completely, or that it will not be. */
  private boolean ended;

  RequestBodyUpload(
      ClientSession session,
      Channel channel,
      PipelinedMessages pipelined,
      ClientSessionContext context,
      long contentLength,
      long receivedBytes) {
    this.session = session;
    this.channel = channel;
    this.pipelined = pipelined;
    relays = context.relays();
    handler = context.handler();
    this.contentLength = contentLength;
    this.receivedBytes = receivedBytes;
  }

  /** Called when the request was accepted. */
  void requestAccepted(InFlightRequest accepted) {
    request = accepted;
  }

  @Override
  public long possibleWaitNanos() {
    long nowNanos = System.nanoTime();
    return nowNanos - session.backlog().sentAtNanos(nowNanos);
  }

  /** Whether the rest of the body is being read. */
  boolean isReadRequested() {
    return relay != null && relay.isReadRequested();
  }

  @Override
  public long contentLength() {
    return contentLength;
  }

  @Override
  public boolean isComplete() {
    return complete;
  }

  /** Whether the messages that the connection receives are to be forwarded. */
  boolean isForwarding() {
    return relay != null;
  }

  @Override
  public void forwardTo(Channel upstream, Runnable onWritten, Runnable onAborted) {
    this.upstream = upstream;
    this.onWritten = onWritten;
    this.onAborted = onAborted;
    if (forwardingStarted || !channel.isActive()) {
      end(onAborted);
      return;
    }
    session.stopReading();
    relay = relays.startUpload(channel, upstream, session::readRequested);
    forwardQueued();
    if (relay != null) {
      relay.readComplete();
    }
  }

  private void forwardQueued() {
    while (!pipelined.isEmpty() && !complete) {
      long sentAtNanos = pipelined.oldestSentAtNanos();
      HttpObject message = pipelined.poll();
      try {
        forward(message, sentAtNanos);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }
    session.updateAndCheckReadAheadFull();
  }

  /**
   * Forwards a message of the body; the caller keeps ownership of its reference.
   *
   * @param sentAtNanos the earliest time at which the client can have sent the message
   */
  void forward(HttpObject message, long sentAtNanos) {
    receivedBytes += PipelinedMessages.contentBytes(message);
    if (message.decoderResult().isFailure() || receivedBytes > MAX_BODY_BYTES) {
      session.closeWhenWritten(CloseReason.INVALID_BODY);
      return;
    }
    if (!forwardingStarted) {
      forwardingStarted = true;
      handler.bodyForwarded(request);
    }
    if (message instanceof HttpContent content) {
      relay.forward(content.content().retain());
    }
    if (message instanceof LastHttpContent) {
      bodyCompleted(sentAtNanos);
    }
  }

  private void bodyCompleted(long sentAtNanos) {
    complete = true;
    stopForwarding();
    handler.uploadCompleted(request, System.nanoTime() - sentAtNanos);
    upstream
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(done -> end(done.isSuccess() ? onWritten : onAborted));
    session.resumeReading();
  }

  /** Tells the attempt the result, unless it was told one before. */
  private void end(Runnable result) {
    if (!ended) {
      ended = true;
      result.run();
    }
  }

  @Override
  public void abort() {
    if (upstream != null && !ended) {
      stopForwarding();
      end(onAborted);
    }
  }

  /** Called when a read of the connection is complete. */
  void readComplete() {
    relay.readComplete();
  }

  @Override
  public void stopForwarding() {
    if (relay != null) {
      relay.end();
      relay = null;
    }
  }

  /** Called when the client disconnected: ends the attempt, which would wait for the rest. */
  void clientDisconnected() {
    if (!complete) {
      abort();
    }
  }
}
