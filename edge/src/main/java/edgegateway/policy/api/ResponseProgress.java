package edgegateway.policy.api;

/**
 * How far the body of a response has come.
 *
 * @param declaredBytes its declared length, or {@link #UNKNOWN_LENGTH}
 * @param receivedBytes how much of it the archive server has sent
 * @param silentNanos how long the archive server has sent nothing although it was read
 * @param writingNanos the time between the arrival of the body's first and of its latest part
 */
public record ResponseProgress(
    long declaredBytes, long receivedBytes, long silentNanos, long writingNanos) {
  /** Stands for the length of a response that declares none. */
  public static final long UNKNOWN_LENGTH = -1;
}
