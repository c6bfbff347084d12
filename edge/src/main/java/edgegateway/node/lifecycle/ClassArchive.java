package edgegateway.node.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Finds out whether the JVM loads classes from the class data archive that the build made ({@code
 * deploy/archive.sh}). The JVM ignores an archive that does not match and only starts more slowly.
 */
public final class ClassArchive {
  private static final String SUFFIX = ".jsa";

  private ClassArchive() {}

  /** Whether this process has mapped such an archive; false if that cannot be read. */
  public static boolean inUse() {
    try {
      return isMapped(
          Files.readString(Path.of("/proc/self/maps")), System.getProperty("java.home"));
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Whether an archive outside the JDK is mapped.
   *
   * @param maps content of {@code /proc/PID/maps} (proc(5))
   * @param jdkHome directory of the JDK, whose own archives don't count
   */
  public static boolean isMapped(String maps, String jdkHome) {
    return maps.lines().anyMatch(line -> line.endsWith(SUFFIX) && !line.contains(jdkHome));
  }
}
