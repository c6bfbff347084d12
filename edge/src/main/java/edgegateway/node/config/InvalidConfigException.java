package edgegateway.node.config;

/** A configuration that cannot be used; the message is one plain line that names the key. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String key;

  InvalidConfigException(String key, String message) {
    super(message);
    this.key = key;
  }

  /**
   * The key that cannot be used, with the objects that hold it, as {@code zones.verdicts}; empty if
   * the file as a whole cannot be.
   */
  public String key() {
    return key;
  }
}
