package edgegateway.protocol;

/** A setting is invalid. The message is a single line that names it. */
public final class InvalidSettingException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private InvalidSettingException(String message) {
    super(message);
  }

  static InvalidSettingException notANumber(String path) {
    return new InvalidSettingException(path + " is not a number");
  }

  static InvalidSettingException notAPair(String text) {
    return new InvalidSettingException("'" + text + "' is not path=value");
  }
}
