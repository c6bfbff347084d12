package edgegateway.policy.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SharesTest {
  @Test
  void validSharesAreUnchanged() {
    assertArrayEquals(new double[] {0.25, 0.75}, Shares.normalize(0.25, 0.75), 1e-12);
  }

  @Test
  void arbitraryInputIsNormalizedWithoutStarvation() {
    SplittableRandom random = new SplittableRandom(11);
    for (int draw = 0; draw < 1000; draw++) {
      double[] input = random.doubles(4, -2, 3).toArray();
      double[] shares = Shares.normalize(input);
      assertEquals(1, Arrays.stream(shares).sum(), 1e-9);
      assertTrue(Arrays.stream(shares).allMatch(share -> share >= Shares.MIN_SHARE / 4));
    }
  }

  @Test
  void nonFiniteShareBecomesMinimum() {
    double[] shares = Shares.normalize(Double.NaN, Double.POSITIVE_INFINITY, 1);
    double sum = 1 + 2 * Shares.MIN_SHARE;
    assertArrayEquals(
        new double[] {Shares.MIN_SHARE / sum, Shares.MIN_SHARE / sum, 1 / sum}, shares, 1e-12);
  }
}
