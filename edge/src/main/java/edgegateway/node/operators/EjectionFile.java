package edgegateway.node.operators;

import static edgegateway.node.logging.EventLog.field;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import edgegateway.node.logging.EventLog;
import edgegateway.protocol.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Set;
import java.util.TreeSet;

/** A file that keeps, over an upgrade, which app servers, or which zones, are out by hand. */
public final class EjectionFile {
  private static final EventLog LOG = EventLog.console();
  private final Path file;
  private FileTime seen;

  /** {@code folder} is null where nothing outlives the process; {@code name} without its ending. */
  public EjectionFile(Path folder, String name) {
    file = folder == null ? null : folder.resolve(name + ".json");
  }

  /**
   * The ids on file if another process wrote it since it was last read or written here, else null.
   */
  public Set<String> changed() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      FileTime written = Files.getLastModifiedTime(file);
      if (written.equals(seen)) {
        return null;
      }
      seen = written;
      JsonNode read = Json.read(Files.readString(file));
      if (!read.isArray()) {
        throw new IOException("not a list");
      }
      Set<String> ids = new TreeSet<>();
      read.forEach(id -> ids.add(id.asText()));
      return ids;
    } catch (IOException | RuntimeException e) {
      LOG.warn("ejection_file_ignored", field("error", e));
      return null;
    }
  }

  /** On return the ids are on file. */
  public void write(Set<String> ids) throws IOException {
    if (file != null) {
      Path draft = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
      ArrayNode list = JsonNodeFactory.instance.arrayNode();
      ids.forEach(list::add);
      Files.writeString(draft, list.toString());
      Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      seen = Files.getLastModifiedTime(file);
    }
  }
}
