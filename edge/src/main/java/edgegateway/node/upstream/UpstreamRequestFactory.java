package edgegateway.node.upstream;

import edgegateway.node.requests.InFlightRequest;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;

/** Makes the HTTP request of an attempt. */
final class UpstreamRequestFactory {
  private UpstreamRequestFactory() {}

  /**
   * The request with its body, or its head alone where the body is still coming in.
   *
   * @param timeLeftNanos until the attempt times out; less than 1 ms is told as 1 ms
   */
  static HttpRequest create(InFlightRequest request, long timeLeftNanos) {
    HttpRequest message =
        request.upload != null
            ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri)
            : new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.uri,
                request.body.retainedDuplicate());
    long timeLeftMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeLeftNanos));
    message
        .headers()
        .set(HttpHeaderNames.HOST, UpstreamHeaders.HOST_VALUE)
        .set(UpstreamHeaders.TRACE_ID, request.request.id())
        .set(UpstreamHeaders.EXPIRES_IN_MILLIS, timeLeftMillis);
    if (request.idempotencyKey != null) {
      message.headers().set(UpstreamHeaders.IDEMPOTENCY_KEY, request.idempotencyKey);
    }
    setBodyLength(message, request);
    return message;
  }

  private static void setBodyLength(HttpRequest message, InFlightRequest request) {
    if (request.upload == null) {
      if (request.body.isReadable()) {
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes());
      }
    } else if (request.upload.contentLength() < 0) {
      HttpUtil.setTransferEncodingChunked(message, true);
    } else {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.upload.contentLength());
    }
  }
}
