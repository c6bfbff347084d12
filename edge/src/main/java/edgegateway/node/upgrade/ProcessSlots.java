package edgegateway.node.upgrade;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * How the two processes of an upgrade know of each other. Each has one of two slots: it locks one
 * byte of a shared file while it lives and another while it takes clients.
 *
 * <p>A lock ends with its process, however that ends, and the file's content means nothing.
 * Processes of two versions share the file, so its name and the bytes' places stay as they are:
 *
 * <pre>
 * byte 0, 1: the process in slot 0, 1 lives
 * byte 2, 3: the process in slot 0, 1 takes clients
 * </pre>
 *
 * <p>Not thread-safe. Where the file cannot be used, no other process is seen, and a warning says
 * so.
 */
public final class ProcessSlots {
  private static final EventLog LOG = EventLog.console();

  private static final String NAME = "slots";
  private static final int SLOTS = 2;
  private static final int TAKING_OFFSET = 2;

  /** A look from the other process holds a byte for a moment, so a lock is tried again. */
  private static final int LOCK_TRIES = 1_000;

  private final Path path;

  /** Null where there is nothing to share. */
  private final FileChannel file;

  private final int slot;

  /** Held from the start to the end of the process; null if no slot was free. */
  private FileLock living;

  /** Null while this process takes no clients. */
  private FileLock taking;

  /**
   * Takes a slot.
   *
   * @param folder the one that both processes share; null where there is none
   */
  public ProcessSlots(Path folder) {
    path = folder == null ? null : folder.resolve(NAME);
    FileChannel opened = null;
    int tried = 0;
    try {
      if (path != null) {
        opened = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        for (int tries = 0; living == null && tries < LOCK_TRIES; tries++) {
          tried = tries % SLOTS;
          living = tryLock(opened, tried);
        }
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_unavailable", field("file", path), field("error", e));
    }
    file = opened;
    slot = tried;
  }

  /** Whether another process of this node lives. */
  public boolean isOtherProcessAlive() {
    return isLocked(otherSlot());
  }

  /** Whether another process of this node takes clients. */
  public boolean isOtherProcessAccepting() {
    return isLocked(TAKING_OFFSET + otherSlot());
  }

  private int otherSlot() {
    return SLOTS - 1 - slot;
  }

  /** From now on this process takes clients, or no more. */
  public void setAccepting(boolean on) {
    try {
      if (on && taking == null && living != null) {
        for (int tries = 0; taking == null && tries < LOCK_TRIES; tries++) {
          taking = tryLock(file, TAKING_OFFSET + slot);
        }
      } else if (!on && taking != null) {
        taking.release();
        taking = null;
      }
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("file", path), field("error", e));
    }
  }

  private boolean isLocked(int position) {
    if (living == null) {
      return false;
    }
    try (FileLock lock = tryLock(file, position)) {
      return lock == null;
    } catch (IOException e) {
      LOG.warn("upgrade_slot_failed", field("file", path), field("error", e));
      return false;
    }
  }

  /** Null if another process holds the byte. */
  private static FileLock tryLock(FileChannel file, int position) throws IOException {
    try {
      return file.tryLock(position, 1, false);
    } catch (OverlappingFileLockException e) {
      // Two nodes in one process, as in tests.
      return null;
    }
  }
}
