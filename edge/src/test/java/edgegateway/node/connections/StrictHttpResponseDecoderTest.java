package edgegateway.node.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Which responses the decoder rejects, in an embedded channel. */
class StrictHttpResponseDecoderTest {
  private final StrictHttpResponseDecoder decoder = new StrictHttpResponseDecoder();
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  /** Whether the decoder accepted all parts of a response. */
  private boolean accepts(String response) {
    channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
    boolean accepted = true;
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      accepted &= part.decoderResult().isSuccess();
      ReferenceCountUtil.release(part);
    }
    return accepted;
  }

  @Test
  void aStatusLineMayLackAReasonPhrase() {
    assertTrue(accepts("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"));
  }

  @Test
  void aHeaderLineWithoutAColonIsRejected() {
    assertFalse(accepts("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"));
  }

  @Test
  void aContentLengthWithChunkedEncodingIsRejected() {
    assertFalse(
        accepts("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
  }

  @Test
  void aTransferEncodingOtherThanChunkedIsRejected() {
    assertFalse(accepts("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"));
  }

  @Test
  void bytesAfterAResponseAreUndecodedUntilTheNextResponseIsComplete() {
    assertTrue(accepts("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    assertFalse(decoder.hasUndecodedBytes());
    assertTrue(accepts("HTTP/1.1 20"));
    assertTrue(decoder.hasUndecodedBytes());
    assertTrue(accepts("0 OK\r\nContent-Length: 0\r\n\r\n"));
    assertFalse(decoder.hasUndecodedBytes());
    assertEquals(0, channel.inboundMessages().size());
  }
}
