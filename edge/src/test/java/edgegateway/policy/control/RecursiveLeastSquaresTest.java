package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class RecursiveLeastSquaresTest {
  @Test
  void recoversAKnownPlant() {
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
    SimpleMatrix truth = new SimpleMatrix(plant).mult(probe);
    assertEquals(truth.get(0), estimator.predict(probe).get(0), 1e-3);
    assertEquals(truth.get(1), estimator.predict(probe).get(1), 1e-3);
  }

  @Test
  void anUnobservedOutputKeepsItsParameters() {
    RecursiveLeastSquares estimator = new RecursiveLeastSquares(2, 1);
    SimpleMatrix one = LinearModel.column(1);
    for (int update = 0; update < 50; update++) {
      estimator.update(one, 2, 5);
    }
    double before = estimator.predict(one).get(1);
    for (int update = 0; update < 50; update++) {
      estimator.update(one, 2, Double.NaN);
    }
    assertEquals(before, estimator.predict(one).get(1));
  }
}
