package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class ControlLawTest {
  @Test
  void movesTowardsTheReferenceAndNormalizedSharesSumToOne() {
    LinearModel model = new LinearModel(new SimpleMatrix(2, 1), SimpleMatrix.identity(2));
    SimpleMatrix next =
        ControlLaw.nextInput(
            model,
            SimpleMatrix.identity(2),
            0.5,
            LinearModel.column(0.8, 0.2),
            LinearModel.column(0.5, 0.5));
    double[] shares = Shares.normalize(next.get(0), next.get(1));
    assertTrue(shares[0] > 0.5 && shares[0] < 0.8);
    assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
    double[] odd = Shares.normalize(Double.NaN, -3, 7);
    assertEquals(1, Arrays.stream(odd).sum(), 1e-9);
    assertTrue(Arrays.stream(odd).allMatch(share -> share > 0));
  }

  private static double next(double penalty, double weight) {
    LinearModel model = new LinearModel(LinearModel.column(0.1), LinearModel.column(2));
    SimpleMatrix next =
        ControlLaw.nextInput(
            model,
            LinearModel.column(weight),
            penalty,
            LinearModel.column(1.1),
            LinearModel.column(0.2));
    return next.get(0);
  }

  @Test
  void withoutAPenaltyTheModelReachesItsReference() {
    assertEquals(0.5, next(0, 1), 1e-12);
  }

  @Test
  void aLargerPenaltyMakesForASmallerStep() {
    assertTrue(next(0.5, 1) < 0.5);
    assertTrue(next(2, 1) < next(0.5, 1));
    assertTrue(next(2, 1) > 0.2);
  }

  @Test
  void anOutputOfWeightZeroMovesNothing() {
    assertEquals(0.2, next(0.5, 0), 1e-12);
  }
}
