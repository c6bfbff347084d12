package edgegateway.node.clients;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Header fields of one message, of which there may be at most {@link #MAX_FIELDS}. A field takes
 * some 150 bytes of heap in addition to its text, so a limit on the length of a head alone would
 * let a head of many short fields take 30 times its length. Not thread-safe.
 */
final class BoundedHeaders extends DefaultHttpHeaders {
  /** The maximum number of header fields of a request, and of trailer fields of its body. */
  static final int MAX_FIELDS = 64;

  /** Creates the headers of requests, with the validation that Netty's decoder uses. */
  static final HttpHeadersFactory FACTORY = new Factory(DefaultHttpHeadersFactory.headersFactory());

  /** Creates the trailers of chunked bodies, with the validation that Netty's decoder uses. */
  static final HttpHeadersFactory TRAILERS_FACTORY =
      new Factory(DefaultHttpHeadersFactory.trailersFactory());

  private int fields;

  private BoundedHeaders(DefaultHttpHeadersFactory validation) {
    super(validation.getNameValidator(), validation.getValueValidator());
  }

  /**
   * Adds a field.
   *
   * @throws IllegalArgumentException if there are too many; the decoder then rejects the message
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    countField();
    return super.add(name, value);
  }

  /** Like {@link #add(CharSequence, Object)}. */
  @Override
  public HttpHeaders add(String name, Object value) {
    countField();
    return super.add(name, value);
  }

  private void countField() {
    fields++;
    if (fields > MAX_FIELDS) {
      throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields");
    }
  }

  private record Factory(DefaultHttpHeadersFactory validation) implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return new BoundedHeaders(validation);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new BoundedHeaders(validation);
    }
  }
}
