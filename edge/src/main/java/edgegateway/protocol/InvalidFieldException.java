package edgegateway.protocol;

/** A field that is missing or cannot be used; the message is one plain line that names its key. */
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String key;

  InvalidFieldException(String key, String message) {
    super(message);
    this.key = key;
  }

  /** The field's key; empty if no field but the whole text cannot be used. */
  public String key() {
    return key;
  }
}
