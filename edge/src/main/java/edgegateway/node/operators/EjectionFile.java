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
 * A file that preserves operators' ejections across an upgrade: a JSON array with the names of the
 * ejected endpoints or zones. Two versions of the program run at the same time during an upgrade
 * and share the file, which has no format version, so its format must not change. Not thread-safe.
 */
public final class EjectionFile {
  private static final EventLog LOG = EventLog.console();
  private static final String EXTENSION = ".json";

  /** Null if there is no shared folder; then nothing is preserved. */
  private final Path file;

  /** Modification time at the last read or write by this process; null before the first. */
  private FileTime lastSeenModified;

  /**
   * Creates an instance without accessing the file.
   *
   * @param folder the shared folder; null if there is none, so that nothing is preserved
   * @param name file name without the extension
   */
  public EjectionFile(Path folder, String name) {
    file = folder == null ? null : folder.resolve(name + EXTENSION);
  }

  /**
   * Reads the file if it changed since this process last read or wrote it. A file that cannot be
   * read is logged and ignored until it changes again.
   *
   * @return the names in the file; null if it is unchanged, missing or invalid
   */
  public Set<String> readIfChanged() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      FileTime modified = Files.getLastModifiedTime(file);
      if (modified.equals(lastSeenModified)) {
        return null;
      }
      lastSeenModified = modified;
      return parse(Files.readString(file));
    } catch (IOException | RuntimeException e) {
      LOG.warn("ejection_file_ignored", field("file", file), field("error", e));
      return null;
    }
  }

  private static Set<String> parse(String text) throws IOException {
    JsonNode list = Json.read(text);
    if (!list.isArray()) {
      throw new IOException("ejection file is not a JSON array");
    }
    Set<String> names = new TreeSet<>();
    for (JsonNode name : list) {
      names.add(name.asText());
    }
    return names;
  }

  /** Replaces the file atomically. Does nothing if there is no shared folder. */
  public void write(Set<String> names) throws IOException {
    if (file == null) {
      return;
    }
    // The process ID is in the name of the draft because both processes may write at the same time.
    Path draft = file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    for (String name : names) {
      list.add(name);
    }
    Files.writeString(draft, list.toString());
    Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    lastSeenModified = Files.getLastModifiedTime(file);
  }
}
