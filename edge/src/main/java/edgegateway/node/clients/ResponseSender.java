package edgegateway.node.clients;

import edgegateway.node.connections.ClientConnection;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Writes responses to a client's connection and reports the completed ones to its session. Not
 * thread-safe: used on the event loop's thread only.
 */
final class ResponseSender {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ClientSession session;
  private final Channel channel;
  private final ClientConnection connection;
  private final ConnectionPersistence persistence;

  ResponseSender(
      ClientSession session,
      Channel channel,
      ClientConnection connection,
      ConnectionPersistence persistence) {
    this.session = session;
    this.channel = channel;
    this.connection = connection;
    this.persistence = persistence;
  }

  /** Writes a response whose body is one line of text; an empty text results in an empty body. */
  void sendText(HttpResponseStatus status, String text) {
    ByteBuf body =
        text.isEmpty()
            ? Unpooled.EMPTY_BUFFER
            : Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
    send(status, body, 0);
  }

  /**
   * Writes a complete response.
   *
   * @param body the body; this sender takes ownership of it
   * @param retryAfterNanos value of the Retry-After header; 0 to send none
   * @return completes when the response is written
   */
  ChannelFuture send(HttpResponseStatus status, ByteBuf body, long retryAfterNanos) {
    boolean withoutBody = persistence.isHeadMethod();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, withoutBody ? Unpooled.EMPTY_BUFFER : body);
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    if (withoutBody) {
      body.release();
    }
    if (retryAfterNanos > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterNanos));
    }
    if (!session.isRequestComplete()) {
      persistence.closeAfterResponse();
    }
    persistence.announce(headers, session.acceptsNoFurtherRequest());
    ChannelFuture written = reportingProgress(channel.writeAndFlush(response));
    session.responseSubmitted(written);
    return written;
  }

  /**
   * Writes the head of a response whose body is streamed.
   *
   * @param length the body's length in bytes; -1 if it is not known
   * @return whether the body is delimited by the connection's close only
   */
  boolean startStream(long length) {
    DefaultHttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    boolean closeDelimited = length < 0 && persistence.isHttp10();
    if (length >= 0) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (closeDelimited) {
      persistence.closeAfterResponse();
    } else {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    persistence.announce(response.headers(), session.acceptsNoFurtherRequest());
    channel.write(response);
    return closeDelimited;
  }

  /** Writes the end of a streamed body; the caller reports the response to the session. */
  ChannelFuture endStream() {
    return reportingProgress(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Writes an interim {@code 100 Continue} response, which a waiting client ignores. */
  void sendContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
  }

  /**
   * Reports the start and end of a write to the connection, so that the connection table can time
   * out a client that does not read its response.
   */
  private ChannelFuture reportingProgress(ChannelFuture write) {
    connection.writeStarted(System.nanoTime());
    return write.addListener(done -> connection.writeCompleted(System.nanoTime()));
  }

  private static String formatSeconds(long nanos) {
    return String.format(Locale.ROOT, "%.3f", nanos / NANOS_PER_SECOND);
  }
}
