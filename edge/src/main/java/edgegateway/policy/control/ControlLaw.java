package edgegateway.policy.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Linear quadratic control law with a horizon of one interval. It minimizes the weighted squared
 * distance of the predicted outputs from their references, plus the squared change of the inputs
 * times the square of the actuation penalty.
 */
final class ControlLaw {
  private ControlLaw() {}

  /**
   * Returns the inputs for the next interval:
   *
   * <pre>u(k) = (B'W'WB + Q²I)⁻¹ (B'W'W (reference - offset) + Q² u(k-1))</pre>
   *
   * <p>with u(k-1) the previous input, B the gain of the model, W the output weights and Q the
   * actuation penalty.
   *
   * @param model effect of the inputs on the outputs
   * @param outputWeights square diagonal matrix, one row per output; a weight of 0 ignores the
   *     output
   * @param actuationPenalty at least 0; a larger penalty leads to smaller changes of the inputs
   * @param reference outputs to be reached; a column with one row per output
   * @param previousInput inputs of the interval that ends now; a column with one row per input
   * @return a column with one row per input, not clamped to any range
   */
  static SimpleMatrix nextInput(
      LinearModel model,
      SimpleMatrix outputWeights,
      double actuationPenalty,
      SimpleMatrix reference,
      SimpleMatrix previousInput) {
    double squaredPenalty = actuationPenalty * actuationPenalty;
    SimpleMatrix weightedGain =
        model.gain().transpose().mult(outputWeights.transpose()).mult(outputWeights);
    SimpleMatrix identity = SimpleMatrix.identity(previousInput.getNumRows());
    SimpleMatrix leftSide = weightedGain.mult(model.gain()).plus(identity.scale(squaredPenalty));
    SimpleMatrix error = reference.minus(model.offset());
    return leftSide.solve(weightedGain.mult(error).plus(previousInput.scale(squaredPenalty)));
  }
}
