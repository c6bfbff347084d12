package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * The pipeline's decoder of requests. Unlike Netty's it rejects a request with both a length and
 * chunked encoding: another reader might see the request end elsewhere (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(int maxChunkSize) {
    super(new HttpDecoderConfig().setMaxChunkSize(maxChunkSize));
  }

  /** Whether bytes have arrived that are no complete message yet. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("a request with two lengths");
  }
}
