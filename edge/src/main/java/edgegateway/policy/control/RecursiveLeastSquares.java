package edgegateway.policy.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Recursive least squares with a forgetting factor: fits {@code output = parameters · regressor}
 * for several outputs that share one covariance. The parameters begin at 0.
 */
final class RecursiveLeastSquares {
  /** A memory of some 50 updates: 1 / (1 - 0.98). */
  private static final double FORGETTING_FACTOR = 0.98;

  /** Bound on the trace of the covariance per input; without it, it grows in quiet intervals. */
  private static final double MAX_TRACE_PER_INPUT = 100;

  private static final double INITIAL_VARIANCE = 10;

  private final SimpleMatrix parameters;
  private SimpleMatrix covariance;
  private int updateCount;

  /** A model of the given number of outputs, each a linear function of the given inputs. */
  RecursiveLeastSquares(int outputs, int inputs) {
    parameters = new SimpleMatrix(outputs, inputs);
    covariance = SimpleMatrix.identity(inputs).scale(INITIAL_VARIANCE);
  }

  /**
   * Folds one observation into the fit.
   *
   * @param regressor a column with one row per input
   * @param outputs one value per output; one that is NaN was not observed and keeps its parameters
   */
  void update(SimpleMatrix regressor, double... outputs) {
    SimpleMatrix direction = covariance.mult(regressor);
    SimpleMatrix gain = direction.divide(FORGETTING_FACTOR + regressor.dot(direction));
    for (int output = 0; output < outputs.length; output++) {
      if (!Double.isNaN(outputs[output])) {
        correct(output, outputs[output] - predict(regressor).get(output), gain);
      }
    }
    covariance = covariance.minus(gain.mult(direction.transpose())).divide(FORGETTING_FACTOR);
    boundCovariance();
    updateCount++;
  }

  private void correct(int output, double error, SimpleMatrix gain) {
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

  /** Outputs that the present fit predicts for a regressor; a column with one row per output. */
  SimpleMatrix predict(SimpleMatrix regressor) {
    return parameters.mult(regressor);
  }

  /**
   * A copy of the parameters of the inputs from {@code fromInput} up to {@code toInput}, exclusive.
   */
  SimpleMatrix parameters(int fromInput, int toInput) {
    return parameters.cols(fromInput, toInput).copy();
  }

  /** How many observations were folded in. */
  int updateCount() {
    return updateCount;
  }
}
