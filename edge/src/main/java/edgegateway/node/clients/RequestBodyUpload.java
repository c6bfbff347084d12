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

  /** How long the client waits for its response from the end of the body. */
  private long clientTimeoutNanos;

  /** Null while the body is not being forwarded. */
  private BodyRelay relay;

  private Channel upstream;
  private Runnable onWritten;
  private Runnable onAborted;
  private boolean complete;
  private boolean forwardingStarted;

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

  /** Called when the request was accepted; takes over its timeout. */
  void requestAccepted(InFlightRequest accepted) {
    request = accepted;
    clientTimeoutNanos = accepted.request.deadlineNanos() - handler.nowNanos();
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
      onAborted.run();
      return;
    }
    session.stopReading();
    relay = relays.start(channel, upstream);
    forwardQueued();
    if (relay != null) {
      relay.readComplete();
    }
  }

  private void forwardQueued() {
    while (!pipelined.isEmpty() && !complete) {
      HttpObject message = pipelined.poll();
      try {
        forward(message);
      } finally {
        ReferenceCountUtil.release(message);
      }
    }
    session.updateAndCheckReadAheadFull();
  }

  /** Forwards a message of the body; the caller keeps ownership of its reference. */
  void forward(HttpObject message) {
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
      bodyCompleted();
    }
  }

  private void bodyCompleted() {
    complete = true;
    stopForwarding();
    handler.uploadCompleted(request, clientTimeoutNanos);
    Runnable written = onWritten;
    Runnable aborted = onAborted;
    upstream
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(done -> (done.isSuccess() ? written : aborted).run());
    channel.config().setAutoRead(true);
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
    if (!complete && upstream != null) {
      stopForwarding();
      onAborted.run();
    }
  }
}
