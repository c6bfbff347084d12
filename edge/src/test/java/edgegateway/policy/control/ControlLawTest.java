package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.ejml.simple.SimpleMatrix;
import org.junit.jupiter.api.Test;

class ControlLawTest {
  @Test
  void sharesMoveTowardsReferenceAndSumToOne() {
    LinearModel model = new LinearModel(new SimpleMatrix(2, 1), SimpleMatrix.identity(2));
    SimpleMatrix nextInput =
        ControlLaw.nextInput(
            model,
            SimpleMatrix.identity(2),
            0.5,
            LinearModel.column(0.8, 0.2),
            LinearModel.column(0.5, 0.5));
    double[] shares = Shares.normalize(nextInput.get(0), nextInput.get(1));
    assertTrue(shares[0] > 0.5 && shares[0] < 0.8);
    assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
    double[] fromInvalidInput = Shares.normalize(Double.NaN, -3, 7);
    assertEquals(1, Arrays.stream(fromInvalidInput).sum(), 1e-9);
    assertTrue(Arrays.stream(fromInvalidInput).allMatch(share -> share > 0));
  }

  private static double nextInput(double actuationPenalty, double outputWeight) {
    LinearModel model = new LinearModel(LinearModel.column(0.1), LinearModel.column(2));
    SimpleMatrix nextInput =
        ControlLaw.nextInput(
            model,
            LinearModel.column(outputWeight),
            actuationPenalty,
            LinearModel.column(1.1),
            LinearModel.column(0.2));
    return nextInput.get(0);
  }

  @Test
  void zeroPenaltyReachesReferenceInOneStep() {
    assertEquals(0.5, nextInput(0, 1), 1e-12);
  }

  @Test
  void largerPenaltyGivesSmallerStep() {
    assertTrue(nextInput(0.5, 1) < 0.5);
    assertTrue(nextInput(2, 1) < nextInput(0.5, 1));
    assertTrue(nextInput(2, 1) > 0.2);
  }

  @Test
  void outputOfWeightZeroIsIgnored() {
    assertEquals(0.2, nextInput(0.5, 0), 1e-12);
  }
}
