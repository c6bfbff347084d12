package edgegateway.policy.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Recursive least squares with a forgetting factor: fits {@code output = parameters · regressor}
 * for several outputs that share one covariance matrix. All parameters are 0 initially.
 */
final class RecursiveLeastSquares {
  /** Corresponds to a memory of about 50 updates: 1 / (1 - 0.98). */
  private static final double FORGETTING_FACTOR = 0.98;

  /**
   * Upper bound of the trace of the covariance matrix, per input. Without a bound the covariance
   * grows exponentially while the regressor stays near 0, as in intervals with little traffic.
   */
  private static final double MAX_TRACE_PER_INPUT = 100;

  private static final double INITIAL_VARIANCE = 10;

  private final SimpleMatrix parameters;
  private SimpleMatrix covariance;
  private int updateCount;

  /**
   * Creates a model whose parameters are all 0.
   *
   * @param outputCount number of outputs
   * @param inputCount number of inputs, which is the dimension of the regressor
   */
  RecursiveLeastSquares(int outputCount, int inputCount) {
    parameters = new SimpleMatrix(outputCount, inputCount);
    covariance = SimpleMatrix.identity(inputCount).scale(INITIAL_VARIANCE);
  }

  /**
   * Updates the fit with one observation.
   *
   * @param regressor a column with one row per input
   * @param outputs the observed value of each output; NaN marks an output that was not observed,
   *     whose parameters do not change
   */
  void update(SimpleMatrix regressor, double... outputs) {
    SimpleMatrix direction = covariance.mult(regressor);
    SimpleMatrix gain = direction.divide(FORGETTING_FACTOR + regressor.dot(direction));
    for (int output = 0; output < outputs.length; output++) {
      if (!Double.isNaN(outputs[output])) {
        updateParameters(output, outputs[output] - predict(regressor).get(output), gain);
      }
    }
    covariance = covariance.minus(gain.mult(direction.transpose())).divide(FORGETTING_FACTOR);
    boundCovariance();
    updateCount++;
  }

  private void updateParameters(int output, double error, SimpleMatrix gain) {
    for (int input = 0; input < parameters.getNumCols(); input++) {
      parameters.set(output, input, parameters.get(output, input) + gain.get(input) * error);
    }
  }

  private void boundCovariance() {
    double maxTrace = MAX_TRACE_PER_INPUT * parameters.getNumCols();
    if (covariance.trace() > maxTrace) {
      covariance = covariance.scale(maxTrace / covariance.trace());
    }
  }

  /** The outputs that the current fit predicts for a regressor; a column, one row per output. */
  SimpleMatrix predict(SimpleMatrix regressor) {
    return parameters.mult(regressor);
  }

  /**
   * A copy of the parameters of the inputs from {@code fromInput} up to {@code toInput}, exclusive.
   */
  SimpleMatrix parameters(int fromInput, int toInput) {
    return parameters.cols(fromInput, toInput).copy();
  }

  /** The number of observations that the fit was updated with. */
  int updateCount() {
    return updateCount;
  }
}
