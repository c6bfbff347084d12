package edgegateway.node.config;

/** A configuration is invalid; the message is a single line that names the key. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String key;

  InvalidConfigException(String key, String message) {
    super(message);
    this.key = key;
  }

  /**
   * The path of the invalid key, such as {@code zones.verdicts}; empty if the file as a whole
   * cannot be read.
   */
  public String key() {
    return key;
  }
}
