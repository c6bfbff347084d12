package edgegateway.node.operators;

import static edgegateway.node.logging.EventLog.field;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import edgegateway.node.logging.EventLog;
import edgegateway.node.upgrade.FileLocks;
import edgegateway.protocol.Json;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A file that preserves operators' ejections across an upgrade: a JSON array with the names of the
 * ejected endpoints or zones. Two versions of the program run at the same time during an upgrade
 * and share the file, which has no format version, so its format must not change.
 *
 * <p>Both processes of an upgrade accept commands. {@link #update} therefore changes single names
 * in what the file holds, under a lock that excludes the other process: a command at one process
 * does not undo one at the other, and of two commands about one name the later one holds. {@link
 * #readIfChanged} must be called by one thread at a time, and may run beside an update.
 */
public final class EjectionFile {
  private static final EventLog LOG = EventLog.console();
  private static final String EXTENSION = ".json";
  private static final String DRAFT_EXTENSION = ".draft";
  private static final String LOCK_EXTENSION = ".lock";

  /** Below the second that an operator's caller waits. */
  private static final long LOCK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long LOCK_RETRY_MILLIS = 2;
  private static final int LOCKED_BYTE = 0;

  /** Null if there is no shared folder; then nothing is preserved. */
  private final Path file;

  /** The content at the last read; null before the first. */
  private String lastReadText;

  /** Whether the last read failed, so that a lasting failure is logged once. */
  private boolean unreadable;

  /**
   * Creates an instance without accessing the file.
   *
   * @param folder the shared folder; null if there is none, so that nothing is preserved
   * @param name file name without the extension
   */
  public EjectionFile(Path folder, String name) {
    file = folder == null ? null : folder.resolve(name + EXTENSION);
  }

  /** Whether there is a shared folder, so that ejections are preserved. */
  public boolean isPersistent() {
    return file != null;
  }

  /**
   * Reads the file if its content differs from that of the last call. The modification time does
   * not tell: two changes within one tick of the file system's clock have the same. A file that
   * cannot be read is logged and ignored until it changes.
   *
   * @return the names in the file; null if it is unchanged, missing or invalid
   */
  public Set<String> readIfChanged() {
    try {
      if (file == null || !Files.exists(file)) {
        return null;
      }
      String text = readText();
      unreadable = false;
      if (text.equals(lastReadText)) {
        return null;
      }
      lastReadText = text;
      return parse(text);
    } catch (InvalidFileException e) {
      logIgnored(e);
      return null;
    } catch (IOException e) {
      if (!unreadable) {
        logIgnored(e);
      }
      unreadable = true;
      return null;
    }
  }

  /**
   * Ejects or readmits one name in the file, atomically and beside updates of another process.
   *
   * @param namesIfMissing the names that were stored as far as this process knows, which take the
   *     place of a missing or invalid file's
   * @throws IOException if the change is not stored; the file is then as it was
   */
  public void update(String name, boolean ejected, Set<String> namesIfMissing) throws IOException {
    if (file == null) {
      return;
    }
    Path lockFile = siblingWith(LOCK_EXTENSION);
    // Closing the channel releases the lock.
    try (FileChannel channel =
        FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      lock(channel);
      Set<String> names = storedNames(namesIfMissing);
      if (ejected) {
        names.add(name);
      } else {
        names.remove(name);
      }
      replace(names);
    }
  }

  private Path siblingWith(String extension) {
    return file.resolveSibling(file.getFileName() + extension);
  }

  /** Takes the lock, which the other process holds only while it updates the file. */
  private void lock(FileChannel channel) throws IOException {
    long startNanos = System.nanoTime();
    while (FileLocks.tryLock(channel, LOCKED_BYTE) == null) {
      if (System.nanoTime() - startNanos > LOCK_TIMEOUT_NANOS) {
        throw new IOException("the other process does not release the lock of " + file);
      }
      try {
        Thread.sleep(LOCK_RETRY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting for the lock of " + file, e);
      }
    }
  }

  private Set<String> storedNames(Set<String> namesIfMissing) throws IOException {
    if (!Files.exists(file)) {
      return new LinkedHashSet<>(namesIfMissing);
    }
    try {
      return parse(readText());
    } catch (InvalidFileException e) {
      logIgnored(e);
      return new LinkedHashSet<>(namesIfMissing);
    }
  }

  /** Bytes that are no UTF-8 are replaced, so that they make the file invalid and no more. */
  private String readText() throws IOException {
    return new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
  }

  private static Set<String> parse(String text) throws InvalidFileException {
    JsonNode list;
    try {
      list = Json.read(text);
    } catch (IOException | RuntimeException e) {
      throw new InvalidFileException(e);
    }
    if (list == null || !list.isArray()) {
      throw new InvalidFileException(new IOException("ejection file is not a JSON array"));
    }
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode name : list) {
      names.add(name.asText());
    }
    return names;
  }

  /** Replaces the file; a process that is killed meanwhile leaves the old file or the new one. */
  private void replace(Set<String> names) throws IOException {
    ArrayNode list = JsonNodeFactory.instance.arrayNode();
    names.forEach(list::add);
    ByteBuffer content = ByteBuffer.wrap(list.toString().getBytes(StandardCharsets.UTF_8));
    Path draft = siblingWith(DRAFT_EXTENSION);
    try (FileChannel channel =
        FileChannel.open(
            draft,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      while (content.hasRemaining()) {
        channel.write(content);
      }
      channel.force(true);
    }
    Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private void logIgnored(IOException cause) {
    LOG.warn("ejection_file_ignored", field("file", file), field("error", cause));
  }

  /** The file was read, but does not hold a list of names. */
  private static final class InvalidFileException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidFileException(Exception cause) {
      super(cause);
    }
  }
}
