package edgegateway.node.upgrade;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import edgegateway.policy.api.QuotaUsage;
import edgegateway.policy.api.StateTransfer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the exact bytes of the handover file: two versions of the program run at the same time
 * during an upgrade and exchange the file, so a change of the format needs a new format version.
 */
class HandoverFileTest {
  /**
   * {@link #STATE} in format version 0x5eed0001, the first four bytes. The program of commit
   * f416bee wrote these bytes.
   */
  private static final byte[] STATE_IN_FORMAT_1 =
      HexFormat.of()
          .parseHex(
              "5eed0001400c000000000000000000023fc999999999999a3fd333333333"
                  + "33330000000200000000000000070000000100000002fffffffffffffffd"
                  + "3fe00000000000003ff80000000000004004000000000000400c00000000"
                  + "000040120000000000004016000000000000401a0000000000000000001c"
                  + "be991a14ffffffffffffffff000000000000001e00000000692ffc100000"
                  + "0000000000003fb999999999999a41cdcd65000000000000000000000000"
                  + "bfd000000000000000000000000000004028000000000000187da8f535e0"
                  + "6d15");

  private static final StateTransfer STATE =
      new StateTransfer(
          3.5,
          List.of(0.2, 0.3),
          List.of(
              new QuotaUsage(7, 1, 2, -3, 0.5, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 123_456_789_012L),
              new QuotaUsage(
                  -1,
                  0,
                  30,
                  1_764_752_400L,
                  0,
                  0.1,
                  1e9,
                  0,
                  -0.25,
                  0,
                  12,
                  1_764_752_400_123_456_789L)));

  @TempDir Path folder;

  @Test
  void readsAFileInFormat1() throws Exception {
    Files.write(folder.resolve("handover"), STATE_IN_FORMAT_1);
    assertEquals(STATE, new HandoverFile(folder).read());
  }

  @Test
  void writesTheFileInFormat1() throws Exception {
    new HandoverFile(folder).write(STATE);
    assertArrayEquals(STATE_IN_FORMAT_1, Files.readAllBytes(folder.resolve("handover")));
  }

  @Test
  void discardsAndReadsNothingWithoutAFolder() throws Exception {
    HandoverFile file = new HandoverFile(null);
    file.discard();
    assertNull(file.read());
  }
}
