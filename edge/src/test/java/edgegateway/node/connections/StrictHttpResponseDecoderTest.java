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

/** Which responses are refused, without a socket. */
class StrictHttpResponseDecoderTest {
  private final StrictHttpResponseDecoder decoder = new StrictHttpResponseDecoder();
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  /** Whether nothing of it was refused. */
  private boolean reads(String response) {
    channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
    boolean read = true;
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      read &= part.decoderResult().isSuccess();
      ReferenceCountUtil.release(part);
    }
    return read;
  }

  @Test
  void aStatusLineMayLackAReason() {
    assertTrue(reads("HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"));
  }

  @Test
  void aHeaderLineWithoutAColonIsRefused() {
    assertFalse(reads("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"));
  }

  @Test
  void twoLengthsAreRefused() {
    assertFalse(
        reads("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"));
  }

  @Test
  void aTransferEncodingOtherThanChunkedIsRefused() {
    assertFalse(reads("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"));
  }

  @Test
  void bytesBehindAResponseAreUndecodedUntilTheyAreAWholeOne() {
    assertTrue(reads("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    assertFalse(decoder.hasUndecodedBytes());
    assertTrue(reads("HTTP/1.1 20"));
    assertTrue(decoder.hasUndecodedBytes());
    assertTrue(reads("0 OK\r\nContent-Length: 0\r\n\r\n"));
    assertFalse(decoder.hasUndecodedBytes());
    assertEquals(0, channel.inboundMessages().size());
  }
}
