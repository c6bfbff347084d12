package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Notices a new configuration by looking at its file, for a process that no SIGHUP reaches. Not
 * thread-safe.
 */
public final class ConfigFileWatcher {
  /**
   * Time between two polls: the platform expects discovery's changes to be known 4 s after a new
   * configuration.
   */
  public static final long POLL_INTERVAL_MILLIS = 500;

  /**
   * Writes that follow each other within a tick of the file system's clock may leave the same time.
   */
  private static final long YOUNG_MS = 2_000;

  private final Path file;
  private String text;
  private BasicFileAttributes seen;
  private long readAt;

  /** {@code followed} is the text that is followed now. */
  public ConfigFileWatcher(Path file, String followed) {
    this.file = file;
    text = followed;
  }

  /**
   * Whether the file now holds another text than at the last look; one that is gone or can't be
   * read does not.
   */
  public boolean pollForChange() {
    try {
      BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
      if (seen != null
          && same(now, seen)
          && readAt - now.lastModifiedTime().toMillis() > YOUNG_MS) {
        return false;
      }
      readAt = System.currentTimeMillis();
      String read = Files.readString(file);
      seen = now;
      boolean changed = !read.equals(text);
      text = read;
      return changed;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean same(BasicFileAttributes a, BasicFileAttributes b) {
    return a.lastModifiedTime().equals(b.lastModifiedTime())
        && a.size() == b.size()
        && a.fileKey().equals(b.fileKey());
  }
}
