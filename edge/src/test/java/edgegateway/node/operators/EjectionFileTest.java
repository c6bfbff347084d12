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

/** Two versions run at once in an upgrade: what one writes the other has to read. */
class EjectionFileTest {
  private static final Set<String> SERVERS =
      new LinkedHashSet<>(List.of("s-5be2a07c", "s-0", "s \"\u00e4\" \\"));

  /** What version f416bee wrote for {@link #SERVERS} and for the zones b and a. */
  private static final byte[] SERVERS_BY_F416BEE =
      "[\"s-5be2a07c\",\"s-0\",\"s \\\"\u00e4\\\" \\\\\"]".getBytes(StandardCharsets.UTF_8);

  private static final byte[] ZONES_BY_F416BEE = "[\"b\",\"a\"]".getBytes(StandardCharsets.UTF_8);

  @TempDir Path folder;

  @Test
  void readsWhatTheVersionBeforeWrote() throws Exception {
    Files.write(folder.resolve("left-out.json"), SERVERS_BY_F416BEE);
    Files.write(folder.resolve("zones-out.json"), ZONES_BY_F416BEE);
    assertEquals(SERVERS, new EjectionFile(folder, "left-out").readIfChanged());
    assertEquals(Set.of("a", "b"), new EjectionFile(folder, "zones-out").readIfChanged());
  }

  @Test
  void writesWhatTheVersionBeforeReads() throws Exception {
    new EjectionFile(folder, "left-out").write(SERVERS);
    new EjectionFile(folder, "zones-out").write(new LinkedHashSet<>(List.of("b", "a")));
    assertArrayEquals(SERVERS_BY_F416BEE, Files.readAllBytes(folder.resolve("left-out.json")));
    assertArrayEquals(ZONES_BY_F416BEE, Files.readAllBytes(folder.resolve("zones-out.json")));
  }

  @Test
  void tellsOnlyWhatAnotherProcessWrote() throws Exception {
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    file.write(SERVERS);
    assertNull(file.readIfChanged());
    assertEquals(SERVERS, new EjectionFile(folder, "left-out").readIfChanged());
  }

  @Test
  void aFileThatIsNoListIsIgnored() throws Exception {
    Files.writeString(folder.resolve("left-out.json"), "{\"s-0\":1}");
    EjectionFile file = new EjectionFile(folder, "left-out");
    assertNull(file.readIfChanged());
    Files.writeString(folder.resolve("left-out.json"), "[\"s-0");
    assertNull(new EjectionFile(folder, "left-out").readIfChanged());
  }

  @Test
  void nothingIsKeptWithoutAFolder() throws Exception {
    EjectionFile file = new EjectionFile(null, "left-out");
    file.write(SERVERS);
    assertNull(file.readIfChanged());
  }
}
