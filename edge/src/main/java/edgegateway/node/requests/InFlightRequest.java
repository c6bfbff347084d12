package edgegateway.node.requests;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.policy.api.Request;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;

/**
 * A client's request between its receipt and its response: what is forwarded, how its attempts
 * stand, and where its one response goes. For the event loop's thread.
 */
public final class InFlightRequest {
  /** Bodies up to this length are buffered whole; the rest of a longer one is an upload. */
  public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

  /** Writes the one response of a request. For the event loop's thread. */
  public interface ResponseWriter {
    /** Writes the body of an upstream's successful response; it stays the caller's. */
    void sendResponse(ByteBuf body);

    /**
     * Writes that the request was rejected, and that a retry is harmless.
     *
     * @param retryAfterNanos when to retry, from now; 0 for no advice
     */
    void sendRejection(long retryAfterNanos);

    /** Writes that the request failed, with no promise about its effect. */
    void sendFailure();

    /**
     * Begins a response whose body follows in pieces, until {@link #endStream}.
     *
     * @param length of the body in bytes; -1 if it is not known
     * @param onClientDisconnect run if the client disconnects before the end
     * @return the client's channel, which takes the pieces
     */
    Channel startStream(long length, Runnable onClientDisconnect);

    /** Ends the body: all pieces are written, or, if it is not complete, no more can follow. */
    void endStream(boolean complete);

    /** Whether the client would have been seen to leave, if it left 0.1 s ago or longer. */
    boolean wouldHaveSeenDisconnect();

    /**
     * Finds out whether the client is still there. If it left, that is reported to the {@link
     * ClientRequestHandler} before {@code then} is run; it is run in any case.
     */
    void checkClientPresence(Runnable then);

    /**
     * The client's deadline is near: a streamed response that is not written whole is cut off so
     * that the client can tell.
     */
    void abortUnfinishedResponse();
  }

  /** The rest of a long body, which is still being received. For the event loop's thread. */
  public interface BodyUpload {
    /** The length of the whole body in bytes; -1 if it is not known. */
    long contentLength();

    /**
     * Forwards the rest to an upstream's channel as it arrives.
     *
     * @param onWritten run when the last byte was written
     * @param onAborted run if the body cannot be forwarded whole
     */
    void forwardTo(Channel upstream, Runnable onWritten, Runnable onAborted);

    /** The attempt that the body was forwarded to is over. */
    void stopForwarding();

    /** Whether the last byte arrived. */
    boolean isComplete();
  }

  public final Request request;
  public final HttpMethod method;
  public final String uri;

  /** Null if the request has none. */
  public final String idempotencyKey;

  /** The body, or its beginning if there is an upload. */
  public final ByteBuf body;

  /** The rest of a long body; null if the body is complete. */
  public final BodyUpload upload;

  /** How many attempts began. */
  public int attempts;

  /** Whether an attempt is in flight. */
  public boolean attemptInFlight;

  /** Cancels the attempt in flight unless it is being written; null if there is none. */
  public Runnable unsentAttemptCancellation;

  /** When the first attempt was sent that may have executed; {@link Long#MIN_VALUE} for none. */
  public long firstPossibleExecutionNanos = Long.MIN_VALUE;

  /** Whether no attempt may follow the one in flight. */
  public boolean lastAttempt;

  /** Whether the response was claimed. */
  public boolean responseClaimed;

  /** When the client stops waiting, on the node's clock; not known until its body is complete. */
  public long clientDeadlineNanos;

  /** Ends the request shortly before that; null if it is not known. */
  public Future<?> clientDeadlineTimer;

  private final BufferedBodies.Body bufferedBytes;
  private final ResponseWriter responseWriter;

  /**
   * Takes over the body and its buffered bytes, which {@link #release} gives up.
   *
   * @param idempotencyKey null for none
   * @param upload the rest of the body; null if that is complete
   */
  public InFlightRequest(
      Request request,
      HttpMethod method,
      String uri,
      String idempotencyKey,
      ByteBuf body,
      BufferedBodies.Body bufferedBytes,
      BodyUpload upload,
      ResponseWriter responseWriter) {
    this.request = request;
    this.method = method;
    this.uri = uri;
    this.idempotencyKey = idempotencyKey;
    this.body = body;
    this.bufferedBytes = bufferedBytes;
    this.upload = upload;
    this.responseWriter = responseWriter;
  }

  /** Cancels an attempt that still waits for its connection. */
  public void cancelUnsentAttempt() {
    if (unsentAttemptCancellation != null) {
      unsentAttemptCancellation.run();
    }
  }

  /** Drops the body. */
  public void release() {
    body.release();
    bufferedBytes.release();
  }

  /** As {@link ResponseWriter#wouldHaveSeenDisconnect}. */
  public boolean wouldHaveSeenClientDisconnect() {
    return responseWriter.wouldHaveSeenDisconnect();
  }

  /** As {@link ResponseWriter#checkClientPresence}. */
  public void checkClientPresence(Runnable then) {
    responseWriter.checkClientPresence(then);
  }

  /** The writer of a response whose streaming began. */
  public ResponseWriter streamedResponse() {
    return responseWriter;
  }

  /** The writer of the one response, for the first caller; null for any further one. */
  public ResponseWriter claimResponse() {
    if (responseClaimed) {
      return null;
    }
    responseClaimed = true;
    return responseWriter;
  }
}
