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

/**
 * The locked bytes are fixed, since two versions run at the same time during an upgrade. The two
 * processes are represented by two objects in one process.
 */
class ProcessSlotsTest {
  private static final int TESTED_BYTES = 6;

  @TempDir Path folder;

  /** Returns the positions of the bytes in the file that this process has locked. */
  private List<Integer> lockedPositions() throws IOException {
    List<Integer> lockedPositions = new ArrayList<>();
    try (FileChannel file = FileChannel.open(folder.resolve("slots"), StandardOpenOption.WRITE)) {
      for (int position = 0; position < TESTED_BYTES; position++) {
        try (FileLock free = file.tryLock(position, 1, false)) {
          assertTrue(free.isValid());
        } catch (OverlappingFileLockException e) {
          lockedPositions.add(position);
        }
      }
    }
    return lockedPositions;
  }

  @Test
  void locksOneByteWhileRunningAndAnotherWhileAccepting() throws Exception {
    ProcessSlots first = new ProcessSlots(folder);
    assertEquals(List.of(0), lockedPositions());
    first.setAccepting(true);
    assertEquals(List.of(0, 2), lockedPositions());
    ProcessSlots second = new ProcessSlots(folder);
    assertEquals(List.of(0, 1, 2), lockedPositions());
    second.setAccepting(true);
    assertEquals(List.of(0, 1, 2, 3), lockedPositions());
    first.setAccepting(false);
    assertEquals(List.of(0, 1, 3), lockedPositions());
  }

  @Test
  void detectsTheOtherProcess() {
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
  void detectsNoProcessWithoutAFolder() {
    ProcessSlots slots = new ProcessSlots(null);
    slots.setAccepting(true);
    assertFalse(slots.isOtherProcessAlive());
    assertFalse(slots.isOtherProcessAccepting());
  }
}
