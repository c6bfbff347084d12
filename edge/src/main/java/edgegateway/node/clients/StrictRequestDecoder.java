package edgegateway.node.clients;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests. Unlike Netty's decoder, it rejects a request with both a {@code Content-Length}
 * and chunked transfer encoding, because another HTTP implementation on the path might see the end
 * of the request elsewhere (request smuggling), and one with more than {@link
 * BoundedHeaders#MAX_FIELDS} header fields.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(int maxChunkSize) {
    super(
        new HttpDecoderConfig()
            .setMaxChunkSize(maxChunkSize)
            .setHeadersFactory(BoundedHeaders.FACTORY)
            .setTrailersFactory(BoundedHeaders.TRAILERS_FACTORY));
  }

  /** Whether received bytes are waiting for the rest of an HTTP message. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and Transfer-Encoding: chunked");
  }
}
