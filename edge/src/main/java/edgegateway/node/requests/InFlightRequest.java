package edgegateway.node.requests;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.policy.api.Request;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;

/** A request that was taken: what goes on to app servers, and what is still owed to its client. */
public final class InFlightRequest {
  /** Where the one final answer goes; told on the loop only. */
  public interface ResponseWriter {
    /** Passes on an app server's answer; the buffer stays the caller's. */
    void sendResponse(ByteBuf body);

    /**
     * Says that trying again is harmless; {@code retryAfter} nanoseconds from now, 0 for no advice.
     */
    void sendRejection(long retryAfterNanos);

    /** Says that it failed, with no promise about the effect. */
    void sendFailure();

    /**
     * Begins to pass a long answer on, of so many bytes or -1; its pieces go to the channel. {@code
     * gone} is run if the client leaves before {@link #endStream}.
     */
    Channel startStream(long length, Runnable gone);

    /** The pieces are all written, or no more can come. */
    void endStream(boolean whole);

    /**
     * Whether its client would have been seen to leave, if it left a tenth of a second ago or
     * longer.
     */
    boolean wouldHaveSeenDisconnect();

    /**
     * Finds out whether its client is still there; {@code then} is run when that had its time. One
     * that has left is told to the node before that.
     */
    void checkClientPresence(Runnable then);

    /**
     * Its client's time is all but over: a long answer that is not out yet ends so that the client
     * can tell.
     */
    void abortUnfinishedResponse();
  }

  /** The rest of a long body, which is still coming in; told on the loop only. */
  public interface BodyUpload {
    /** How long the whole body is; -1 if that is not told. */
    long contentLength();

    /**
     * Passes the rest on; {@code written} is run when its last byte is, {@code gone} if that never
     * comes.
     */
    void forwardTo(Channel server, Runnable written, Runnable gone);

    /** The attempt that it was passed to is over. */
    void stopForwarding();

    /** Whether the last byte came. */
    boolean isComplete();
  }

  public final Request request;
  public final HttpMethod method;
  public final String uri;
  public final String idempotencyKey;

  /** The body, or its beginning where there is an upload. */
  public final ByteBuf body;

  private final BufferedBodies.Body bufferedBytes;
  private final ResponseWriter responseWriter;
  public final BodyUpload upload;
  public int attempts;
  public boolean attemptInFlight;

  /**
   * Run to end the attempt that is out, so far as it has not begun to be written; null if there is
   * none.
   */
  public Runnable cancelUnsentAttempt;

  /** When the first attempt was chosen that may have run; {@link Long#MIN_VALUE} if none was. */
  public long firstPossibleExecutionNanos = Long.MIN_VALUE;

  /** Whether no attempt follows the one that is out. */
  public boolean lastAttempt;

  public boolean answered;

  /**
   * When its client's time is over, on the node's clock; not known before the last byte of its body
   * came.
   */
  public long clientDeadlineNanos;

  public Future<?> clientDeadlineTimer;

  /**
   * Takes over the body and what is told to be held of it; {@code upload} is null if that is whole.
   */
  public InFlightRequest(
      Request request,
      HttpMethod method,
      String uri,
      String key,
      ByteBuf body,
      BufferedBodies.Body holding,
      BodyUpload upload,
      ResponseWriter answers) {
    this.request = request;
    this.method = method;
    this.uri = uri;
    this.idempotencyKey = key;
    this.body = body;
    this.bufferedBytes = holding;
    this.upload = upload;
    this.responseWriter = answers;
  }

  /** An attempt that still waits for its connection is not made any more. */
  public void cancelUnsentAttempt() {
    if (cancelUnsentAttempt != null) {
      cancelUnsentAttempt.run();
    }
  }

  /** Lets the body go. */
  public void release() {
    body.release();
    bufferedBytes.release();
  }

  /** Whether its client would have been seen to leave by now. */
  public boolean wouldHaveSeenClientDisconnect() {
    return responseWriter.wouldHaveSeenDisconnect();
  }

  /** Finds out whether its client is still there, and goes on then. */
  public void checkClientPresence(Runnable then) {
    responseWriter.checkClientPresence(then);
  }

  /** Where the rest of a long answer goes, once that has begun. */
  public ResponseWriter streamedResponse() {
    return responseWriter;
  }

  /** The answers' side if nothing was answered yet, else null: a request has one final answer. */
  public ResponseWriter claimResponse() {
    if (answered) {
      return null;
    }
    answered = true;
    return responseWriter;
  }
}
