package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Whether this process's classes come from the archive that the build made ({@code
 * deploy/archive.sh}). The JVM passes over an archive that does not fit and only starts slower.
 */
public final class ClassArchive {
  private static final String SUFFIX = ".jsa";

  private ClassArchive() {}

  /** As the kernel tells it; false where it does not. */
  public static boolean inUse() {
    try {
      return isMapped(
          Files.readString(Path.of("/proc/self/maps")), System.getProperty("java.home"));
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether {@code maps}, as in proc(5), name an archive other than those that the JDK brings. */
  public static boolean isMapped(String maps, String jdk) {
    return maps.lines().anyMatch(line -> line.endsWith(SUFFIX) && !line.contains(jdk));
  }
}
