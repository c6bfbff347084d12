package edgegateway.policy.control;

import java.util.Arrays;
import java.util.List;
import org.ejml.simple.SimpleMatrix;

/**
 * Controls the share of each request class in the fair queue. Once per control interval it updates
 * a linear model from the shares to the throughput and inverse latency of each class, and moves the
 * shares so that these outputs approach the references from {@link UtilityOptimizer}. Until the
 * model has had enough updates, the shares are proportional to the priority weights.
 */
public final class ShareController {
  private static final double ACTUATION_PENALTY = 0.3;

  private static final double THROUGHPUT_SCALE_SMOOTHING = 0.2;

  /** Avoids a division by 0 where all priority weights or values are 0. */
  private static final double MIN_WEIGHT = 1e-9;

  /** The outputs of a class are its throughput and its inverse latency. */
  private static final int OUTPUTS_PER_CLASS = 2;

  /** The inputs of a class are its outputs of the previous interval and its share. */
  private static final int INPUTS_PER_CLASS = 3;

  private final List<ClassIntervalStatistics> classes;
  private final int classCount;
  private final int outputCount;
  private final int inputCount;
  private final RecursiveLeastSquares estimator;
  private final UtilityOptimizer optimizer;
  private double[] shares;

  /** Outputs of the previous interval; null in the first interval. */
  private double[] previousOutputs;

  /**
   * Moving average of the successful requests per interval of all classes, at least 1. Throughputs
   * in the model are fractions of it.
   */
  private double throughputScale = 1;

  /**
   * Creates a controller, which reads the statistics and never resets them.
   *
   * @param classes the statistics of all request classes, in the order of their indices
   */
  public ShareController(List<ClassIntervalStatistics> classes) {
    this.classes = List.copyOf(classes);
    classCount = classes.size();
    outputCount = OUTPUTS_PER_CLASS * classCount;
    inputCount = INPUTS_PER_CLASS * classCount;
    estimator = new RecursiveLeastSquares(outputCount, inputCount);
    optimizer = new UtilityOptimizer(this.classes);
    double[] weights =
        classes.stream()
            .mapToDouble(statistics -> statistics.requestClass().priorityWeight())
            .toArray();
    double sum = Math.max(MIN_WEIGHT, Arrays.stream(weights).sum());
    shares = Shares.normalize(Arrays.stream(weights).map(weight -> weight / sum).toArray());
  }

  /** The share of a class, above 0; the shares of all classes sum to 1. */
  public double share(int classIndex) {
    return shares[classIndex];
  }

  /** Updates the model with the interval that ends now, and sets the shares for the next one. */
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
      updateShares(outputs, observed);
    }
  }

  /**
   * Sets the outputs of one class. Without a successful request, the class keeps its previous
   * inverse latency in {@code outputs}, and NaN in {@code observed} marks both of its outputs as
   * unobserved.
   */
  private void observe(int index, double[] outputs, double[] observed) {
    ClassIntervalStatistics statistics = classes.get(index);
    boolean hasSuccess = statistics.succeeded() > 0;
    int latencyIndex = classCount + index;
    outputs[index] = statistics.succeeded() / throughputScale;
    outputs[latencyIndex] =
        hasSuccess ? statistics.normalizedInverseLatency() : previousInverseLatency(latencyIndex);
    observed[index] = hasSuccess ? outputs[index] : Double.NaN;
    observed[latencyIndex] = hasSuccess ? outputs[latencyIndex] : Double.NaN;
  }

  private double previousInverseLatency(int latencyIndex) {
    return previousOutputs == null ? 0 : previousOutputs[latencyIndex];
  }

  private SimpleMatrix regressor(double[] earlierOutputs, double[] inputShares) {
    double[] regressor = new double[inputCount];
    System.arraycopy(earlierOutputs, 0, regressor, 0, outputCount);
    System.arraycopy(inputShares, 0, regressor, outputCount, classCount);
    return LinearModel.column(regressor);
  }

  private void updateShares(double[] outputs, double[] observed) {
    LinearModel model = model(outputs);
    SimpleMatrix references = optimizer.references(model, throughputScale);
    SimpleMatrix nextInput =
        ControlLaw.nextInput(
            model,
            outputWeights(observed),
            ACTUATION_PENALTY,
            references,
            LinearModel.column(shares));
    shares = Shares.normalize(nextInput.getDDRM().getData());
  }

  /**
   * The fitted effect of the shares on the outputs of the next interval, given the outputs of the
   * interval that ends now.
   */
  private LinearModel model(double[] outputs) {
    SimpleMatrix gain = estimator.parameters(outputCount, inputCount);
    SimpleMatrix offset = estimator.predict(regressor(outputs, new double[classCount]));
    for (int output = 0; output < outputCount; output++) {
      int ownClass = output % classCount;
      if (gain.get(output, ownClass) <= 0) {
        // A larger share of a class raises its own outputs. A fitted gain of 0 or less is noise, or
        // the share never varied: until the gain is positive, the output is taken as proportional
        // to the class's own share.
        for (int input = 0; input < classCount; input++) {
          gain.set(output, input, input == ownClass ? outputs[output] / shares[input] : 0);
        }
        offset.set(output, 0, 0);
      }
    }
    return new LinearModel(offset, gain);
  }

  /**
   * The square roots of the classes' values relative to the highest value, as the control law
   * squares the weights; 0 for an output that was not observed.
   */
  private SimpleMatrix outputWeights(double[] observed) {
    double highestValue =
        classes.stream().mapToDouble(ClassIntervalStatistics::valuePerRequest).max().orElse(1);
    SimpleMatrix weights = new SimpleMatrix(outputCount, outputCount);
    for (int output = 0; output < outputCount; output++) {
      double value = classes.get(output % classCount).valuePerRequest();
      double weight = Math.sqrt(value / Math.max(MIN_WEIGHT, highestValue));
      weights.set(output, output, Double.isNaN(observed[output]) ? 0 : weight);
    }
    return weights;
  }
}
