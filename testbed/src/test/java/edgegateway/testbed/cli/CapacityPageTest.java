package edgegateway.testbed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The page's tables are those of the committed plays. */
class CapacityPageTest {
  private static final Path PAGE = Path.of("..", "docs", "CAPACITY.md");
  private static final Path RESULTS = Path.of("scale", "results");

  private static List<Path> results() throws IOException {
    try (Stream<Path> folders = Files.list(RESULTS)) {
      return folders.sorted().toList();
    }
  }

  @Test
  void thePageSaysWhatTheCommandPrints(@TempDir Path folder) throws Exception {
    assertFalse(results().isEmpty());
    Path copy = Files.copy(PAGE, folder.resolve("CAPACITY.md"));
    String[] args =
        Stream.concat(
                Stream.of("scale", "report"),
                Stream.concat(
                    results().stream().map(Path::toString), Stream.of("--page", copy.toString())))
            .toArray(String[]::new);
    assertEquals(0, TestbedCommand.commandLine().execute(args));
    assertEquals(
        Files.readString(copy),
        Files.readString(PAGE),
        "write the page anew: testbed scale report testbed/scale/results/* --page docs/CAPACITY.md");
  }

  @Test
  void aPageWithoutMarksIsLeftAsItIs() {
    assertThrows(IOException.class, () -> ScaleReportCommand.within("# Capacity", "tables"));
  }
}
