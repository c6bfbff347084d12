package edgegateway.policy.control;

import java.util.Arrays;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * The share of each request class in the fair queue. Once an interval a linear model from shares to
 * the classes' throughputs and inverse latencies is fitted, and the shares move towards the outputs
 * that {@link UtilityOptimizer} wants. Until the model is fitted they follow the priority weights.
 */
public final class ShareController {
  /** Penalty on a change of the shares. */
  private static final double ACTUATION_PENALTY = 0.3;

  private static final double THROUGHPUT_SCALE_SMOOTHING = 0.2;
  private static final double MIN_WEIGHT = 1e-9;

  /** Per class: throughput and inverse latency. */
  private static final int OUTPUTS_PER_CLASS = 2;

  /** Per class: the two outputs of the interval before, and the share. */
  private static final int INPUTS_PER_CLASS = 3;

  private final List<ClassIntervalStatistics> classes;
  private final int classCount;
  private final int outputCount;
  private final int inputCount;
  private final RecursiveLeastSquares estimator;
  private final UtilityOptimizer optimizer;
  private double[] shares;

  /** Outputs of the interval before; null in the first one. */
  private double[] previousOutputs;

  /** Smoothed successful requests per interval, at least 1: a normalized throughput of 1. */
  private double throughputScale = 1;

  /** A controller of the given classes; it reads their statistics and never resets them. */
  public ShareController(List<ClassIntervalStatistics> classes) {
    this.classes = List.copyOf(classes);
    classCount = classes.size();
    outputCount = OUTPUTS_PER_CLASS * classCount;
    inputCount = INPUTS_PER_CLASS * classCount;
    estimator = new RecursiveLeastSquares(outputCount, inputCount);
    optimizer = new UtilityOptimizer(this.classes);
    double[] weights =
        classes.stream().mapToDouble(one -> one.requestClass().priorityWeight()).toArray();
    double sum = Math.max(MIN_WEIGHT, Arrays.stream(weights).sum());
    shares = Shares.normalize(Arrays.stream(weights).map(w -> w / sum).toArray());
  }

  /** Share of a class, above 0; all sum to 1. */
  public double share(int classIndex) {
    return shares[classIndex];
  }

  /** Fits the model to the interval that ends now, and sets the shares of the next one. */
  public void intervalEnded() {
    double succeeded = classes.stream().mapToInt(ClassIntervalStatistics::succeeded).sum();
    throughputScale += THROUGHPUT_SCALE_SMOOTHING * (Math.max(1, succeeded) - throughputScale);
    double[] outputs = new double[outputCount];
    double[] observed = new double[outputCount];
    for (int index = 0; index < classCount; index++) {
      observe(index, outputs, observed);
    }
    if (previousOutputs != null && succeeded > 0) {
      estimator.update(regressor(previousOutputs, shares), observed);
    }
    previousOutputs = outputs;
    if (estimator.updateCount() >= inputCount) {
      steer(outputs, observed);
    }
  }

  /** Sets the outputs of one class; a class without an answer keeps its latency, unobserved. */
  private void observe(int index, double[] outputs, double[] observed) {
    ClassIntervalStatistics statistics = classes.get(index);
    boolean answered = statistics.succeeded() > 0;
    int latencyIndex = classCount + index;
    outputs[index] = statistics.succeeded() / throughputScale;
    outputs[latencyIndex] =
        answered ? statistics.normalizedInverseLatency() : previousInverseLatency(latencyIndex);
    observed[index] = answered ? outputs[index] : Double.NaN;
    observed[latencyIndex] = answered ? outputs[latencyIndex] : Double.NaN;
  }

  private double previousInverseLatency(int latencyIndex) {
    return previousOutputs == null ? 0 : previousOutputs[latencyIndex];
  }

  private SimpleMatrix regressor(double[] outputs, double[] inputs) {
    double[] regressor = new double[inputCount];
    System.arraycopy(outputs, 0, regressor, 0, outputCount);
    System.arraycopy(inputs, 0, regressor, outputCount, classCount);
    return LinearModel.column(regressor);
  }

  private void steer(double[] outputs, double[] observed) {
    LinearModel model = model(outputs);
    SimpleMatrix references = optimizer.references(model, throughputScale);
    SimpleMatrix next =
        ControlLaw.nextInput(
            model,
            outputWeights(observed),
            ACTUATION_PENALTY,
            references,
            LinearModel.column(shares));
    shares = Shares.normalize(next.getDDRM().getData());
  }

  /** The fitted effect of the shares, given the outputs of the interval that ends now. */
  private LinearModel model(double[] outputs) {
    SimpleMatrix gain = estimator.parameters(outputCount, inputCount);
    SimpleMatrix offset = estimator.predict(regressor(outputs, new double[classCount]));
    for (int output = 0; output < outputCount; output++) {
      int ownClass = output % classCount;
      if (gain.get(output, ownClass) <= 0) {
        // Noise, or never varied: until the fit has the known sign, in proportion to the share.
        for (int input = 0; input < classCount; input++) {
          gain.set(output, input, input == ownClass ? outputs[output] / shares[input] : 0);
        }
        offset.set(output, 0, 0);
      }
    }
    return new LinearModel(offset, gain);
  }

  /** Square roots of the classes' values against the highest; 0 for what was not observed. */
  private SimpleMatrix outputWeights(double[] observed) {
    double highest =
        classes.stream().mapToDouble(ClassIntervalStatistics::valuePerRequest).max().orElse(1);
    SimpleMatrix weights = new SimpleMatrix(outputCount, outputCount);
    for (int output = 0; output < outputCount; output++) {
      double value = classes.get(output % classCount).valuePerRequest();
      double weight = Math.sqrt(value / Math.max(MIN_WEIGHT, highest));
      weights.set(output, output, Double.isNaN(observed[output]) ? 0 : weight);
    }
    return weights;
  }
}
