package edgegateway.node.operators;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * Keeps operators' ejections, of endpoints or of zones, in an {@link EjectionFile}. Files are
 * written on a thread of their own, since a disk may take long; a change that is being written goes
 * before what the file says. Used on the event loop's thread only.
 */
public final class EjectionStore {
  private static final EventLog LOG = EventLog.console();

  private final EjectionFile file;
  private final String kind;
  private final Executor fileThread;
  private final Executor eventLoop;

  /** The last change of each name that is being written. */
  private final Map<String, Change> unwritten = new LinkedHashMap<>();

  /** The ejected names in the file, as far as known. */
  private final Set<String> stored = new LinkedHashSet<>();

  /** A command about one name; equal only to itself, as a name may be changed back and forth. */
  private static final class Change {
    final String name;
    final boolean ejected;

    Change(String name, boolean ejected) {
      this.name = name;
      this.ejected = ejected;
    }

    void applyTo(Set<String> names) {
      if (ejected) {
        names.add(name);
      } else {
        names.remove(name);
      }
    }
  }

  /**
   * Creates a store.
   *
   * @param kind what is ejected, for the log
   * @param fileThread runs updates of the file, one after the other
   * @param eventLoop the thread that uses this store
   */
  public EjectionStore(EjectionFile file, String kind, Executor fileThread, Executor eventLoop) {
    this.file = file;
    this.kind = kind;
    this.fileThread = fileThread;
    this.eventLoop = eventLoop;
  }

  /**
   * Stores that a name is ejected or readmitted.
   *
   * @return completes on the event loop, exceptionally if the file was not changed
   */
  public CompletableFuture<Void> store(String name, boolean ejected) {
    if (!file.isPersistent()) {
      return CompletableFuture.completedFuture(null);
    }
    Change change = new Change(name, ejected);
    unwritten.put(name, change);
    Set<String> namesIfMissing = Set.copyOf(stored);
    CompletableFuture<Void> result = new CompletableFuture<>();
    fileThread.execute(
        () -> {
          Exception failure = write(change, namesIfMissing);
          eventLoop.execute(() -> writeEnded(change, failure, result));
        });
    return result;
  }

  /** Returns null on success. */
  private Exception write(Change change, Set<String> namesIfMissing) {
    try {
      file.update(change.name, change.ejected, namesIfMissing);
      return null;
    } catch (IOException | RuntimeException e) {
      return e;
    }
  }

  private void writeEnded(Change change, Exception failure, CompletableFuture<Void> result) {
    unwritten.remove(change.name, change);
    if (failure != null) {
      LOG.warn(
          "ejection_not_stored",
          field("kind", kind),
          field("name", change.name),
          field("error", failure));
      result.completeExceptionally(failure);
      return;
    }
    change.applyTo(stored);
    LOG.info(
        "ejection_stored",
        field("kind", kind),
        field("name", change.name),
        field("ejected", change.ejected));
    result.complete(null);
  }

  /** Whether the name is ejected according to the file, as far as known. */
  public boolean isStoredAsEjected(String name) {
    return stored.contains(name);
  }

  /**
   * Returns the names that are ejected if the file has changed, by this process or another one, and
   * null otherwise.
   */
  public Set<String> readIfChanged() {
    Set<String> names = file.readIfChanged();
    if (names == null) {
      return null;
    }
    LOG.info("ejections_read", field("kind", kind), field("names", names));
    stored.clear();
    stored.addAll(names);
    unwritten.values().forEach(change -> change.applyTo(names));
    return names;
  }
}
