package edgegateway.node.requests;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.policy.api.Outcome;
import edgegateway.policy.api.Request;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;

/**
 * A client's request from its receipt until its response: the message to forward, the state of its
 * attempts, and the writer of its only response. Not thread-safe: used on the event loop's thread
 * only.
 */
public final class InFlightRequest {
  /**
   * Request bodies up to this length are buffered completely; what follows in a longer body is
   * streamed by a {@link BodyUpload}.
   */
  public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

  /** Writes the only response to a request; called on the event loop's thread. */
  public interface ResponseWriter {
    /** Sends the body of a successful upstream response; the caller keeps ownership of it. */
    void sendResponse(ByteBuf body);

    /**
     * Sends a response that tells the client that the request was rejected and not executed, so
     * that a retry is safe.
     *
     * @param retryAfterNanos how long the client should wait before a retry; 0 to send no
     *     Retry-After header
     */
    void sendRejection(long retryAfterNanos);

    /**
     * Sends a response that tells the client that the request failed and may have been executed.
     */
    void sendFailure();

    /**
     * Begins a response whose body is streamed until {@link #endStream}.
     *
     * @param length the body's length in bytes; -1 if it is not known
     * @param onClientDisconnect run if the client disconnects before the end of the body
     * @return the client's channel, to which the body is written
     */
    Channel startStream(long length, Runnable onClientDisconnect);

    /**
     * Ends a streamed response.
     *
     * @param complete whether the body was written completely; if not, the connection is closed
     */
    void endStream(boolean complete);

    /** Whether a disconnect of the client at least 0.1 s ago would have been detected by now. */
    boolean wouldHaveSeenDisconnect();

    /**
     * Checks whether the client is still connected. A detected disconnect is reported to the {@link
     * ClientRequestHandler} before {@code then} runs. {@code then} runs in any case.
     */
    void checkClientPresence(Runnable then);

    /** Whether a streamed response has not been received completely. */
    boolean isStreaming();

    /**
     * Ends a streamed response that is incomplete, by a reset of the connection, by which the
     * client recognizes a truncated response.
     */
    void abortStream();
  }

  /**
   * The part of a long request body that is not buffered and is still being received; used on the
   * event loop's thread.
   */
  public interface BodyUpload {
    /** The length of the complete body in bytes; -1 if it is not known. */
    long contentLength();

    /**
     * Forwards the body to an upstream channel as it arrives.
     *
     * @param onWritten run when the last byte was written
     * @param onAborted run if the body cannot be forwarded completely
     */
    void forwardTo(Channel upstream, Runnable onWritten, Runnable onAborted);

    /** Stops forwarding, because the attempt that the body was forwarded to has ended. */
    void stopForwarding();

    /** Whether the last byte of the body was received and forwarded. */
    boolean isComplete();

    /**
     * How long ago the client may have sent the last byte, although it has not been read; 0 if it
     * has certainly not sent it.
     */
    long possibleWaitNanos();

    /** Ends the attempt that the body is forwarded to, unless the body was written completely. */
    void abort();
  }

  public final Request request;
  public final HttpMethod method;

  /** Whether the request may be executed repeatedly without restriction. */
  private final boolean idempotent;

  public final String uri;

  /** Null if the request has no idempotency key. */
  public final String idempotencyKey;

  /** How long the client waits for its response, from the last byte of the request. */
  public final long clientTimeoutNanos;

  /** The body; only its buffered beginning if {@link #upload} is not null. */
  public final ByteBuf body;

  /** Streams the rest of a long body; null if {@link #body} is complete. */
  public final BodyUpload upload;

  /** The number of attempts that began. */
  public int attempts;

  /** Whether an attempt is in flight. */
  public boolean attemptInFlight;

  /** How the last attempt ended; null if none has ended. */
  public Outcome lastOutcome;

  /**
   * Cancels the attempt in flight unless writing its request has begun; null if no attempt is in
   * flight.
   */
  public Runnable unsentAttemptCancellation;

  /**
   * When the first of the ended attempts that the server may have executed was sent; {@link
   * Long#MIN_VALUE} if there is none.
   */
  public long firstPossibleExecutionNanos = Long.MIN_VALUE;

  /** Whether a streamed response has shown that an archive server has executed the request. */
  public boolean executed;

  /** Whether no further attempt may follow the attempt in flight. */
  public boolean lastAttempt;

  /** Whether {@link #claimResponse} was called. */
  public boolean responseClaimed;

  /**
   * The client's deadline on the node's clock; {@link Long#MAX_VALUE} until the body is complete.
   */
  public long clientDeadlineNanos = Long.MAX_VALUE;

  /** Ends the request shortly before {@link #clientDeadlineNanos}; null while that is not set. */
  public Future<?> clientDeadlineTimer;

  private final BufferedBodies.Body bufferedBytes;
  private final ResponseWriter responseWriter;

  /**
   * Takes ownership of {@code body} and {@code bufferedBytes} until {@link #release}.
   *
   * @param idempotencyKey null if the request has none
   * @param clientTimeoutNanos how long the client waits, from the last byte of the request
   * @param bufferedBytes the memory accounted for {@code body}
   * @param upload streams the rest of a long body; null if {@code body} is complete
   */
  public InFlightRequest(
      Request request,
      HttpMethod method,
      String uri,
      String idempotencyKey,
      long clientTimeoutNanos,
      ByteBuf body,
      BufferedBodies.Body bufferedBytes,
      BodyUpload upload,
      ResponseWriter responseWriter) {
    this.request = request;
    this.method = method;
    idempotent = method.equals(HttpMethod.GET);
    this.uri = uri;
    this.idempotencyKey = idempotencyKey;
    this.clientTimeoutNanos = clientTimeoutNanos;
    this.body = body;
    this.bufferedBytes = bufferedBytes;
    this.upload = upload;
    this.responseWriter = responseWriter;
  }

  /** Cancels the attempt in flight if it still waits for a connection. */
  public void cancelUnsentAttempt() {
    if (unsentAttemptCancellation != null) {
      unsentAttemptCancellation.run();
    }
  }

  /** Releases the body and the memory accounted for it. */
  public void release() {
    body.release();
    bufferedBytes.release();
  }

  /**
   * Whether a request of the same id may be sent on once this one has ended: it was not executed,
   * or it is of a class without effect.
   */
  public boolean mayBeExecutedAgain() {
    return idempotent || !executed && firstPossibleExecutionNanos == Long.MIN_VALUE;
  }

  /** See {@link ResponseWriter#wouldHaveSeenDisconnect}. */
  public boolean wouldHaveSeenClientDisconnect() {
    return responseWriter.wouldHaveSeenDisconnect();
  }

  /** See {@link ResponseWriter#checkClientPresence}. */
  public void checkClientPresence(Runnable then) {
    responseWriter.checkClientPresence(then);
  }

  /** The writer of the streamed response, after {@link ResponseWriter#startStream}. */
  public ResponseWriter streamedResponse() {
    return responseWriter;
  }

  /** Returns the response writer on the first call, and null on every further call. */
  public ResponseWriter claimResponse() {
    if (responseClaimed) {
      return null;
    }
    responseClaimed = true;
    return responseWriter;
  }
}
