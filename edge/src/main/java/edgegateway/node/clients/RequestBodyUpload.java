package edgegateway.node.clients;

import edgegateway.node.requests.BodyRelay;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * The rest of a request's long body, behind the beginning that is buffered. It is received while it
 * is forwarded, in the one attempt that it can be forwarded in. For the event loop's thread.
 */
final class RequestBodyUpload implements InFlightRequest.BodyUpload {
  /** The longest body that is accepted. */
  static final long MAX_BODY_BYTES = 32L << 20;

  private final ClientSession session;
  private final Channel channel;
  private final PipelinedMessages pipelined;
  private final BodyRelay.Group relays;
  private final ClientRequestHandler handler;
  private final long contentLength;
  private long receivedBytes;
  private InFlightRequest request;

  /** How long the client waits for its response, counted from the end of the body. */
  private long clientTimeoutNanos;

  /** Null while nothing is forwarded. */
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

  /** Its request was accepted. */
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

  /** Whether messages of the connection are to be forwarded. */
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
    session.pauseReading();
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
    session.updateReadAhead();
  }

  /** Forwards a message of the body; its reference stays the caller's. */
  void forward(HttpObject message) {
    receivedBytes += PipelinedMessages.contentBytes(message);
    if (message.decoderResult().isFailure() || receivedBytes > MAX_BODY_BYTES) {
      channel.close();
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
      completed();
    }
  }

  private void completed() {
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

  /** The read that the forwarded messages came from is complete. */
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

  /** The client disconnected: the attempt must not wait for the rest of the body. */
  void clientDisconnected() {
    if (!complete && upstream != null) {
      stopForwarding();
      onAborted.run();
    }
  }
}
