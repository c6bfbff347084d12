package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class RecursiveLeastSquaresTest {
  @Test
  void predictsOutputsOfKnownPlant() {
    double[][] plant = {{0.5, 0.2, 1.5}, {-0.1, 0.4, 0.7}};
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(2, 3);
    SplittableRandom random = new SplittableRandom(3);
    for (int update = 0; update < 300; update++) {
      SimpleMatrix regressor =
          LinearModel.column(random.nextDouble(), random.nextDouble(), random.nextDouble());
      SimpleMatrix outputs = new SimpleMatrix(plant).mult(regressor);
      estimator.update(regressor, outputs.get(0), outputs.get(1));
    }
    SimpleMatrix probe = LinearModel.column(1, 2, 3);
    SimpleMatrix expected = new SimpleMatrix(plant).mult(probe);
    assertEquals(expected.get(0), estimator.predict(probe).get(0), 1e-3);
    assertEquals(expected.get(1), estimator.predict(probe).get(1), 1e-3);
  }

  @Test
  void unobservedOutputKeepsParameters() {
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(2, 1);
    SimpleMatrix regressor = LinearModel.column(1);
    for (int update = 0; update < 50; update++) {
      estimator.update(regressor, 2, 5);
    }
    double before = estimator.predict(regressor).get(1);
    for (int update = 0; update < 50; update++) {
      estimator.update(regressor, 2, Double.NaN);
    }
    assertEquals(before, estimator.predict(regressor).get(1));
  }

  @Test
  void adaptsToChangedPlant() {
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(1, 1);
    SplittableRandom random = new SplittableRandom(4);
    for (int update = 0; update < 600; update++) {
      double input = random.nextDouble(0.5, 1.5);
      double parameter = update < 300 ? 1 : -2;
      estimator.update(LinearModel.column(input), parameter * input);
    }
    assertEquals(-2, estimator.predict(LinearModel.column(1)).get(0), 0.01);
    assertEquals(600, estimator.updateCount());
  }

  @Test
  void predictsAccuratelyAfterManyNearZeroRegressors() {
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(1, 2);
    for (int update = 0; update < 100_000; update++) {
      estimator.update(LinearModel.column(1e-6, 0), 1e-6);
    }
    estimator.update(LinearModel.column(1, 1), 1);
    double predicted = estimator.predict(LinearModel.column(1, 1)).get(0);
    assertEquals(1, predicted, 0.1);
  }

  @Test
  void parametersAreSelectedByInput() {
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(1, 2);
    SplittableRandom random = new SplittableRandom(6);
    for (int update = 0; update < 200; update++) {
      double first = random.nextDouble();
      double second = random.nextDouble();
      estimator.update(LinearModel.column(first, second), 3 * first - second);
    }
    assertEquals(-1, estimator.parameters(1, 2).get(0), 1e-3);
  }
}
