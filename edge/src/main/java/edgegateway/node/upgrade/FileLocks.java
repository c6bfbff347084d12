package edgegateway.node.upgrade;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;

/** Locks that the processes of a node take on the files that they share. */
public final class FileLocks {
  private FileLocks() {}

  /**
   * Locks one byte of a file; returns null if it is locked already, by this process or another one.
   */
  public static FileLock tryLock(FileChannel file, int position) throws IOException {
    try {
      return file.tryLock(position, 1, false);
    } catch (OverlappingFileLockException e) {
      // The byte is locked by this process itself: tests run two nodes in one process.
      return null;
    }
  }
}
