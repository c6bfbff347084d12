package edgegateway.testbed.fakes.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * The place of an answer on its connection: it is written behind those to all requests before it.
 */
final class PipelinedResponse {
  private final Channel to;
  private final ArrayDeque<PipelinedResponse> line;
  private FullHttpResponse answer;

  /** {@code line} holds the connection's places, the oldest first. */
  PipelinedResponse(Channel to, ArrayDeque<PipelinedResponse> line) {
    this.to = to;
    this.line = line;
  }

  Channel channel() {
    return to;
  }

  void answer(HttpResponseStatus status, String body) {
    answer(status, body, null, null);
  }

  /** Answers with whole text, and with one header more if {@code name} is not null. */
  void answer(HttpResponseStatus status, String body, CharSequence name, Object value) {
    answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    if (name != null) {
      answer.headers().set(name, value);
    }
    while (!line.isEmpty() && line.peek().answer != null) {
      to.write(line.poll().answer);
    }
    to.flush();
  }
}
