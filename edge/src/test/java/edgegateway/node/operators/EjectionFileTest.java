package edgegateway.node.operators;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the exact bytes of the ejection files: two versions of the program run at the same time
 * during an upgrade and share the files, which have no format version, so the format must not
 * change.
 */
class EjectionFileTest {
  private static final Set<String> ENDPOINTS =
      new LinkedHashSet<>(List.of("s-5be2a07c", "s-0", "s \"\u00e4\" \\"));

  /** {@link #ENDPOINTS} as a JSON array, as the program of commit f416bee wrote it. */
  private static final byte[] ENDPOINTS_FILE =
      "[\"s-5be2a07c\",\"s-0\",\"s \\\"\u00e4\\\" \\\\\"]".getBytes(StandardCharsets.UTF_8);

  /** The zones b and a as a JSON array, as the program of commit f416bee wrote it. */
  private static final byte[] ZONES_FILE = "[\"b\",\"a\"]".getBytes(StandardCharsets.UTF_8);

  @TempDir Path folder;

  @Test
  void readsFilesInTheFixedFormat() throws Exception {
    Files.write(folder.resolve("left-out.json"), ENDPOINTS_FILE);
    Files.write(folder.resolve("zones-out.json"), ZONES_FILE);
    assertEquals(ENDPOINTS, new EjectionFile(folder, "left-out").readIfChanged());
    assertEquals(Set.of("a", "b"), new EjectionFile(folder, "zones-out").readIfChanged());
  }

  @Test
  void writesFilesInTheFixedFormat() throws Exception {
    new EjectionFile(folder, "left-out").write(ENDPOINTS);
    new EjectionFile(folder, "zones-out").write(new LinkedHashSet<>(List.of("b", "a")));
    assertArrayEquals(ENDPOINTS_FILE, Files.readAllBytes(folder.resolve("left-out.json")));
    assertArrayEquals(ZONES_FILE, Files.readAllBytes(folder.resolve("zones-out.json")));
  }

  @Test
  void returnsOnlyNamesThatAnotherProcessWrote() throws Exception {
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    file.write(ENDPOINTS);
    assertNull(file.readIfChanged());
    assertEquals(ENDPOINTS, new EjectionFile(folder, "left-out").readIfChanged());
  }

  @Test
  void ignoresFilesThatAreNotAJsonArray() throws Exception {
    Files.writeString(folder.resolve("left-out.json"), "{\"s-0\":1}");
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    Files.writeString(folder.resolve("left-out.json"), "[\"s-0");
    assertNull(new EjectionFile(folder, "left-out").readIfChanged());
  }

  @Test
  void preservesNothingWithoutAFolder() throws Exception {
    EjectionFile file = new EjectionFile(null, "left-out");
    file.write(ENDPOINTS);
    assertNull(file.readIfChanged());
  }
}
