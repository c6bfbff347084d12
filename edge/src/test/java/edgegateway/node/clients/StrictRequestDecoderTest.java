package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests which requests the decoder rejects. */
class StrictRequestDecoderTest {
  private static final int MAX_CHUNK_BYTES = 1_024;
  private final StrictRequestDecoder decoder = new StrictRequestDecoder(MAX_CHUNK_BYTES);
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  @Test
  void rejectsContentLengthWithChunkedEncoding() {
    receive("POST /api HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n");
    HttpRequest request = channel.readInbound();
    assertTrue(request.decoderResult().isFailure());
    channel.finishAndReleaseAll();
  }

  @Test
  void acceptsContentLengthAlone() {
    receive("POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nbook");
    HttpRequest request = channel.readInbound();
    assertTrue(request.decoderResult().isSuccess());
    assertEquals("/api", request.uri());
    ReferenceCountUtil.release(request);
    channel.finishAndReleaseAll();
  }

  @Test
  void reportsUndecodedBytesOfAnIncompleteHead() {
    assertFalse(decoder.hasUndecodedBytes());
    receive("GET /api HT");
    assertTrue(decoder.hasUndecodedBytes());
    receive("TP/1.1\r\n\r\n");
    assertFalse(decoder.hasUndecodedBytes());
    channel.finishAndReleaseAll();
  }

  private static String fields(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(Integer.toHexString(i)).append(":\r\n");
    }
    return text.toString();
  }

  /** An incomplete head of 1,300 short fields took 300 KB of heap on each of 500 connections. */
  @Test
  void rejectsManyShortHeaderFieldsBeforeTheHeadIsComplete() {
    receive("GET /api HTTP/1.1\r\n" + fields(1_300));
    HttpRequest request = channel.readInbound();
    assertTrue(request.decoderResult().isFailure());
    channel.finishAndReleaseAll();
  }

  @Test
  void acceptsAsManyHeaderFieldsAsAreAllowed() {
    receive("GET /api HTTP/1.1\r\n" + fields(BoundedHeaders.MAX_FIELDS) + "\r\n");
    HttpRequest request = channel.readInbound();
    assertTrue(request.decoderResult().isSuccess());
    assertEquals(BoundedHeaders.MAX_FIELDS, request.headers().size());
    channel.finishAndReleaseAll();
  }

  @Test
  void rejectsManyTrailerFields() {
    receive("POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields(1_300));
    HttpRequest request = channel.readInbound();
    assertTrue(request.decoderResult().isSuccess());
    LastHttpContent end = channel.readInbound();
    assertTrue(end.decoderResult().isFailure());
    channel.finishAndReleaseAll();
  }
}
