package edgegateway.node.upstream;

import edgegateway.node.requests.InFlightRequest;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/**
 * Writes the request of an attempt, with a complete body or with one that is still being received,
 * and reports to the attempt whether the write completed. A failed write closes the channel before
 * it ends the attempt.
 */
final class UpstreamRequestWriter {
  private UpstreamRequestWriter() {}

  static void write(Channel channel, UpstreamAttempt attempt) {
    if (attempt.request().upload == null) {
      writeWithBody(channel, attempt);
    } else {
      writeWithUpload(channel, attempt);
    }
  }

  private static void writeWithBody(Channel channel, UpstreamAttempt attempt) {
    InFlightRequest request = attempt.request();
    HttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, request.method, request.uri, request.body.retainedDuplicate());
    setHeaders(message, request, attempt.remainingNanos());
    if (request.body.isReadable()) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes());
    }
    channel
        .writeAndFlush(message)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                attempt.writeCompleted();
              } else {
                channel.close();
                attempt.connectionLost();
              }
            });
  }

  /**
   * Writes the head and the buffered beginning of a long body; the upload writes the rest as it
   * arrives.
   */
  private static void writeWithUpload(Channel channel, UpstreamAttempt attempt) {
    InFlightRequest request = attempt.request();
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri);
    setHeaders(head, request, attempt.remainingNanos());
    if (request.upload.contentLength() < 0) {
      HttpUtil.setTransferEncodingChunked(head, true);
    } else {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.upload.contentLength());
    }
    channel.write(head);
    channel
        .writeAndFlush(new DefaultHttpContent(request.body.retainedDuplicate()))
        .addListener(
            done -> {
              if (attempt.hasEnded() || !done.isSuccess()) {
                channel.close();
                attempt.connectionLost();
              } else {
                request.upload.forwardTo(
                    channel, attempt::writeCompleted, () -> uploadFailed(channel, attempt));
              }
            });
  }

  private static void uploadFailed(Channel channel, UpstreamAttempt attempt) {
    attempt.uploadFailed();
    channel.close();
    attempt.connectionLost();
  }

  /** Sends a remaining time of less than 1 ms as 1 ms. */
  private static void setHeaders(
      HttpRequest message, InFlightRequest request, long remainingNanos) {
    long remainingMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    message
        .headers()
        .set(HttpHeaderNames.HOST, UpstreamHeaders.HOST_VALUE)
        .set(UpstreamHeaders.TRACE_ID, request.request.id())
        .set(UpstreamHeaders.EXPIRES_IN_MILLIS, remainingMillis);
    if (request.idempotencyKey != null) {
      message.headers().set(UpstreamHeaders.IDEMPOTENCY_KEY, request.idempotencyKey);
    }
  }
}
