package edgegateway.node.connections;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Inbound codec of a connection to an archive server or to the counter: bytes to HTTP/1.1
 * responses. It reads header lines as strictly as Netty reads those of a request; the codec on its
 * own takes a line without a colon for an empty header. The status line may lack a reason, and a
 * body without a length lasts until its connection ends.
 *
 * <p>What it refuses arrives as a message whose {@code decoderResult()} is a failure.
 */
public final class StrictHttpResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private boolean readingHeaders;

  /** A decoder for one new connection. */
  public StrictHttpResponseDecoder() {
    super(new HttpDecoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** The codec is strict about header lines only where it decodes a request. */
  @Override
  protected boolean isDecodingRequest() {
    return readingHeaders;
  }

  @Override
  public HttpMessage createMessage(String[] statusLine) {
    readingHeaders = true;
    return super.createMessage(statusLine);
  }

  @Override
  public boolean isContentAlwaysEmpty(HttpMessage response) {
    readingHeaders = false;
    if (response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
        && !HttpUtil.isTransferEncodingChunked(response)) {
      throw new IllegalArgumentException("a response with a transfer encoding other than chunked");
    }
    return super.isContentAlwaysEmpty(response);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage response) {
    throw new IllegalArgumentException("a response with both a length and chunked encoding");
  }

  /** Whether bytes are left that belong to no complete response. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }
}
