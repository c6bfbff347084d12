package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Detects a new configuration by polling its file, for a process that ignores SIGHUP. Not
 * thread-safe.
 */
public final class ConfigFileWatcher {
  /**
   * Time between two polls. The platform expects a changed discovery address to be in use 4 s after
   * the new configuration was written.
   */
  public static final long POLL_INTERVAL_MILLIS = 500;

  /**
   * Age that a modification time must have when the file is read for an unchanged time to mean an
   * unchanged file: two writes within one tick of the file system's clock get the same time.
   */
  private static final long MIN_TRUSTED_AGE_MILLIS = 2_000;

  private final Path file;
  private String lastText;
  private BasicFileAttributes lastAttributes;
  private long lastReadMillis;

  /** {@code currentText} is the content of the configuration that is in use. */
  public ConfigFileWatcher(Path file, String currentText) {
    this.file = file;
    lastText = currentText;
  }

  /**
   * Whether the file's content differs from that of the last poll; false if the file is missing or
   * cannot be read.
   */
  public boolean pollForChange() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      if (lastAttributes != null
          && sameFileState(attributes, lastAttributes)
          && lastReadMillis - attributes.lastModifiedTime().toMillis() > MIN_TRUSTED_AGE_MILLIS) {
        return false;
      }
      lastReadMillis = System.currentTimeMillis();
      String readText = Files.readString(file);
      lastAttributes = attributes;
      boolean changed = !readText.equals(lastText);
      lastText = readText;
      return changed;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean sameFileState(BasicFileAttributes a, BasicFileAttributes b) {
    return a.lastModifiedTime().equals(b.lastModifiedTime())
        && a.size() == b.size()
        && a.fileKey().equals(b.fileKey());
  }
}
