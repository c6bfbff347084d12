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

/**
 * A file that keeps, over an upgrade, which endpoints or which zones operators ejected: a JSON
 * array of their names. Processes of two versions share it, so its form stays as it is. Not
 * thread-safe.
 */
public final class EjectionFile {
  private static final EventLog LOG = EventLog.console();
  private static final String SUFFIX = ".json";

  /** Null where nothing outlives the process. */
  private final Path file;

  /** When the file was written that was read or written here last; null if none was. */
  private FileTime lastSeen;

  /**
   * Reads and writes nothing yet.
   *
   * @param folder null where nothing outlives the process
   * @param name the file's name without its ending
   */
  public EjectionFile(Path folder, String name) {
    file = folder == null ? null : folder.resolve(name + SUFFIX);
  }

  /**
   * The names on file if another process wrote it since it was last read or written here; else
   * null. A file that cannot be read is logged and ignored until it is written again.
   */
  public Set<String> readIfChanged() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      FileTime written = Files.getLastModifiedTime(file);
      if (written.equals(lastSeen)) {
        return null;
      }
      lastSeen = written;
      return parse(Files.readString(file));
    } catch (IOException | RuntimeException e) {
      LOG.warn("ejection_file_ignored", field("file", file), field("error", e));
      return null;
    }
  }

  private static Set<String> parse(String text) throws IOException {
    JsonNode list = Json.read(text);
    if (!list.isArray()) {
      throw new IOException("not a list");
    }
    Set<String> names = new TreeSet<>();
    for (JsonNode name : list) {
      names.add(name.asText());
    }
    return names;
  }

  /** On return the names are on file, whole; does nothing where nothing outlives the process. */
  public void write(Set<String> names) throws IOException {
    if (file == null) {
      return;
    }
    // A name of its own for each process: both may write at once.
    Path draft = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    for (String name : names) {
      list.add(name);
    }
    Files.writeString(draft, list.toString());
    Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    lastSeen = Files.getLastModifiedTime(file);
  }
}
