package edgegateway.testbed.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;

/**
 * How the program is begun.
 *
 * @param root where its commands run
 * @param run the shell's words that begin an edge node
 */
public record DeployFile(Path root, String run) {
  /** Where it is below a checkout's root. */
  public static final Path PLACE = Path.of("deploy", "balancer.toml");

  /**
   * Reads a checkout's deploy file.
   *
   * @throws IOException with one line that names the file, if there is none or it names no {@code
   *     run}
   */
  public static DeployFile read(Path root) throws IOException {
    Path file = root.resolve(PLACE);
    JsonNode run = new TomlMapper().readTree(file.toFile()).path("run");
    if (!run.isTextual()) {
      throw new IOException(file + ": run is missing");
    }
    return new DeployFile(root, run.textValue());
  }
}
