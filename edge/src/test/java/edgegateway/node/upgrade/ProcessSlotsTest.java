package edgegateway.node.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two versions run at once in an upgrade: both have to lock the same bytes of the same file. */
class ProcessSlotsTest {
  private static final int BYTES = 6;

  @TempDir Path folder;

  /** The bytes of the file that are locked by this process. */
  private List<Integer> locked() throws IOException {
    List<Integer> locked = new ArrayList<>();
    try (FileChannel file = FileChannel.open(folder.resolve("slots"), StandardOpenOption.WRITE)) {
      for (int position = 0; position < BYTES; position++) {
        try (FileLock free = file.tryLock(position, 1, false)) {
          assertTrue(free.isValid());
        } catch (OverlappingFileLockException e) {
          locked.add(position);
        }
      }
    }
    return locked;
  }

  @Test
  void eachProcessLocksAByteForItsLifeAndAnotherForItsClients() throws Exception {
    ProcessSlots first = new ProcessSlots(folder);
    assertEquals(List.of(0), locked());
    first.setAccepting(true);
    assertEquals(List.of(0, 2), locked());
    ProcessSlots second = new ProcessSlots(folder);
    assertEquals(List.of(0, 1, 2), locked());
    second.setAccepting(true);
    assertEquals(List.of(0, 1, 2, 3), locked());
    first.setAccepting(false);
    assertEquals(List.of(0, 1, 3), locked());
  }

  @Test
  void theTwoProcessesSeeEachOther() {
    ProcessSlots first = new ProcessSlots(folder);
    assertFalse(first.isOtherProcessAlive());
    first.setAccepting(true);
    ProcessSlots second = new ProcessSlots(folder);
    assertTrue(first.isOtherProcessAlive());
    assertFalse(first.isOtherProcessAccepting());
    assertTrue(second.isOtherProcessAlive());
    assertTrue(second.isOtherProcessAccepting());
    first.setAccepting(false);
    assertFalse(second.isOtherProcessAccepting());
  }

  @Test
  void nobodyIsSeenWithoutAFolder() {
    ProcessSlots alone = new ProcessSlots(null);
    alone.setAccepting(true);
    assertFalse(alone.isOtherProcessAlive());
    assertFalse(alone.isOtherProcessAccepting());
  }
}
