package edgegateway.node.operators;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Collection;
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
    eject(new EjectionFile(folder, "left-out"), ENDPOINTS);
    eject(new EjectionFile(folder, "zones-out"), List.of("b", "a"));
    assertArrayEquals(ENDPOINTS_FILE, Files.readAllBytes(folder.resolve("left-out.json")));
    assertArrayEquals(ZONES_FILE, Files.readAllBytes(folder.resolve("zones-out.json")));
  }

  private static void eject(EjectionFile file, Collection<String> names) throws IOException {
    for (String name : names) {
      file.update(name, true, Set.of());
    }
  }

  @Test
  void returnsTheNamesOnceAfterEachChange() throws Exception {
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    eject(file, ENDPOINTS);
    assertEquals(ENDPOINTS, file.readIfChanged());
    assertNull(file.readIfChanged());
    assertEquals(ENDPOINTS, new EjectionFile(folder, "left-out").readIfChanged());
    new EjectionFile(folder, "left-out").update("s-0", false, Set.of());
    assertEquals(Set.of("s-5be2a07c", "s \"\u00e4\" \\"), file.readIfChanged());
    assertNull(file.readIfChanged());
  }

  /** Guards against an ejection that is lost as the other process of an upgrade ejects as well. */
  @Test
  void anUpdateKeepsWhatAnotherProcessHasWritten() throws Exception {
    EjectionFile first = new EjectionFile(folder, "left-out");
    EjectionFile second = new EjectionFile(folder, "left-out");
    first.update("s-0", true, Set.of("s-0"));
    second.update("s-1", true, Set.of("s-1"));
    assertEquals(Set.of("s-0", "s-1"), first.readIfChanged());
    second.update("s-0", false, Set.of("s-1"));
    first.update("s-2", true, Set.of("s-0", "s-2"));
    assertEquals(Set.of("s-1", "s-2"), second.readIfChanged());
  }

  /** Guards against a change that is not seen as it has the modification time of the one before. */
  @Test
  void aChangeWithinOneTickOfTheFileSystemIsSeen() throws Exception {
    EjectionFile file = new EjectionFile(folder, "left-out");
    file.update("s-0", true, Set.of());
    assertEquals(Set.of("s-0"), file.readIfChanged());
    FileTime modified = Files.getLastModifiedTime(folder.resolve("left-out.json"));
    new EjectionFile(folder, "left-out").update("s-1", true, Set.of());
    Files.setLastModifiedTime(folder.resolve("left-out.json"), modified);
    assertEquals(Set.of("s-0", "s-1"), file.readIfChanged());
  }

  @Test
  void aDraftLeftByAKilledProcessIsIgnored() throws Exception {
    Files.writeString(folder.resolve("left-out.json.draft"), "[\"s-0\",\"s-1\",\"s-2\",\"s-");
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    file.update("s-7", true, Set.of());
    assertEquals(Set.of("s-7"), file.readIfChanged());
  }

  @Test
  void anUpdateThatFailsLeavesTheFileAsItWas() throws Exception {
    EjectionFile file = new EjectionFile(folder, "left-out");
    file.update("s-0", true, Set.of());
    Path draft = Files.createDirectory(folder.resolve("left-out.json.draft"));
    assertThrows(IOException.class, () -> file.update("s-1", true, Set.of()));
    assertEquals(Set.of("s-0"), file.readIfChanged());
    Files.delete(draft);
    file.update("s-2", true, Set.of());
    assertEquals(Set.of("s-0", "s-2"), file.readIfChanged());
  }

  @Test
  void anInvalidFileIsReplacedByWhatThisProcessEjects() throws Exception {
    Files.write(folder.resolve("left-out.json"), new byte[] {(byte) 0xff, 0, '['});
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    file.update("s-1", true, Set.of("s-0", "s-1"));
    assertEquals(Set.of("s-0", "s-1"), file.readIfChanged());
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
    eject(file, ENDPOINTS);
    assertNull(file.readIfChanged());
  }
}
