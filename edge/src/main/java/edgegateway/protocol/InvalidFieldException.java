package edgegateway.protocol;

/** A JSON field is missing or invalid. The message is a single line that names the field's key. */
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String key;

  InvalidFieldException(String key, String message) {
    super(message);
    this.key = key;
  }

  /** The key of the field; empty if the text as a whole is invalid. */
  public String key() {
    return key;
  }
}
