package edgegateway.node.connections;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Decodes HTTP/1.1 responses on a connection to an archive server or to the counter. It parses
 * header lines as strictly as Netty parses those of a request; Netty's response decoder takes a
 * line without a colon as an empty header. The status line may lack a reason phrase, and a body
 * without a length ends with the connection.
 *
 * <p>A rejected response arrives as a message whose {@code decoderResult()} is a failure.
 */
public final class StrictHttpResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private boolean readingHeaders;
  private long receivedBytes;

  /** Creates the decoder of one new connection. */
  public StrictHttpResponseDecoder() {
    super(new HttpDecoderConfig().setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      receivedBytes += bytes.readableBytes();
    }
    super.channelRead(context, message);
  }

  /** How many bytes this connection has received. */
  public long receivedBytes() {
    return receivedBytes;
  }

  /** True while headers are parsed: Netty is strict about header lines only in requests. */
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
      throw new IllegalArgumentException("response has a transfer encoding other than chunked");
    }
    return super.isContentAlwaysEmpty(response);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage response) {
    throw new IllegalArgumentException("response has both a content length and chunked encoding");
  }

  /** Whether received bytes remain that are not part of a complete response. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }
}
