package edgegateway.node.upgrade;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Lets the two processes of an upgrade detect each other. Each process occupies one of two slots:
 * it locks one byte of a shared file while it runs and another while it accepts clients.
 *
 * <p>The operating system releases the locks when a process ends, whatever the cause. The content
 * of the file has no meaning. Processes of two versions share the file, so its name and the
 * positions of the bytes must not change:
 *
 * <pre>
 * byte 0, 1: the process in slot 0, 1 is running
 * byte 2, 3: the process in slot 0, 1 accepts clients
 * </pre>
 *
 * <p>Not thread-safe. If the file cannot be used, a warning is logged and no other process is
 * detected.
 */
public final class ProcessSlots {
  private static final EventLog LOG = EventLog.console();

  private static final String FILE_NAME = "slots";
  private static final int SLOT_COUNT = 2;
  private static final int ACCEPTING_OFFSET = 2;

  /** A lock is retried because the other process holds a byte for a moment when it tests it. */
  private static final int MAX_LOCK_ATTEMPTS = 1_000;

  private final Path path;

  /** Null if there is no shared folder or the file cannot be opened. */
  private final FileChannel file;

  private final int slot;

  /** Held from start to end of the process; null if no slot was free. */
  private FileLock lifetimeLock;

  /** Null while this process does not accept clients. */
  private FileLock acceptingLock;

  /**
   * Occupies a free slot.
   *
   * @param folder the folder that both processes share; null if there is none
   */
  public ProcessSlots(Path folder) {
    path = folder == null ? null : folder.resolve(FILE_NAME);
    FileChannel opened = null;
    int triedSlot = 0;
    try {
      if (path != null) {
        opened = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        for (int attempt = 0; lifetimeLock == null && attempt < MAX_LOCK_ATTEMPTS; attempt++) {
          triedSlot = attempt % SLOT_COUNT;
          lifetimeLock = FileLocks.tryLock(opened, triedSlot);
        }
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_unavailable", field("file", path), field("error", e));
    }
    file = opened;
    slot = triedSlot;
  }

  /** Whether another process of this node is running. */
  public boolean isOtherProcessAlive() {
    return isLocked(otherSlot());
  }

  /** Whether another process of this node accepts clients. */
  public boolean isOtherProcessAccepting() {
    return isLocked(ACCEPTING_OFFSET + otherSlot());
  }

  /** Whether this process occupies a slot. */
  boolean hasSlot() {
    return lifetimeLock != null;
  }

  /** The number of this process's slot, 0 or 1; without meaning if it has none. */
  int slot() {
    return slot;
  }

  /** The number of the slot that this process does not occupy. */
  int otherSlot() {
    return SLOT_COUNT - 1 - slot;
  }

  /** Records whether this process accepts clients. */
  public void setAccepting(boolean accepting) {
    try {
      if (accepting && acceptingLock == null && lifetimeLock != null) {
        for (int attempt = 0; acceptingLock == null && attempt < MAX_LOCK_ATTEMPTS; attempt++) {
          acceptingLock = FileLocks.tryLock(file, ACCEPTING_OFFSET + slot);
        }
      } else if (!accepting && acceptingLock != null) {
        acceptingLock.release();
        acceptingLock = null;
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("file", path), field("error", e));
    }
  }

  private boolean isLocked(int position) {
    if (lifetimeLock == null) {
      return false;
    }
    try (FileLock lock = FileLocks.tryLock(file, position)) {
      return lock == null;
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("file", path), field("error", e));
      return false;
    }
  }
}
