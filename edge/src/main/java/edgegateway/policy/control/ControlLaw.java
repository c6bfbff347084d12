package edgegateway.policy.control;

import org.ejml.simple.SimpleMatrix;

/**
 * Linear quadratic control law over one interval. It minimizes the weighted squared distance of the
 * predicted outputs from their references plus the squared change of the inputs times an actuation
 * penalty.
 */
final class ControlLaw {
  private ControlLaw() {}

  /**
   * The inputs for the next interval:
   *
   * <pre>u(k) = (B'W'WB + Q²I)⁻¹ (B'W'W (reference - offset) + Q² u(k-1))</pre>
   *
   * <p>with B the gain of the model, W the output weights and Q the actuation penalty.
   *
   * @param model effect of the inputs on the outputs
   * @param outputWeights square diagonal matrix, one row per output; a weight of 0 ignores it
   * @param actuationPenalty at least 0; a larger one makes for smaller steps
   * @param reference outputs to be reached; a column
   * @param previousInput inputs of the present interval; a column
   * @return a column with one row per input, not bounded in any way
   */
  static SimpleMatrix nextInput(
      LinearModel model,
      SimpleMatrix outputWeights,
      double actuationPenalty,
      SimpleMatrix reference,
      SimpleMatrix previousInput) {
    double penalty = actuationPenalty * actuationPenalty;
    SimpleMatrix weightedGain =
        model.gain().transpose().mult(outputWeights.transpose()).mult(outputWeights);
    SimpleMatrix identity = SimpleMatrix.identity(previousInput.getNumRows());
    SimpleMatrix left = weightedGain.mult(model.gain()).plus(identity.scale(penalty));
    SimpleMatrix error = reference.minus(model.offset());
    return left.solve(weightedGain.mult(error).plus(previousInput.scale(penalty)));
  }
}
