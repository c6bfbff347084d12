package edgegateway.policy.control;

import org.ejml.simple.SimpleMatrix;

/**
 * A linear model of the plant over one control interval: {@code output = offset + gain · input}.
 *
 * @param offset predicted outputs if all inputs are 0; a column with one row per output
 * @param gain effect of each input on each output; one row per output, one column per input
 */
record LinearModel(SimpleMatrix offset, SimpleMatrix gain) {
  /**
   * Predicts the outputs for the given inputs.
   *
   * @param inputs one value per column of {@link #gain}
   * @return a column with one row per output
   */
  SimpleMatrix predict(double... inputs) {
    return offset.plus(gain.mult(column(inputs)));
  }

  /** A column vector of the given values. */
  static SimpleMatrix column(double... values) {
    return new SimpleMatrix(values.length, 1, true, values);
  }
}
