package edgegateway.testbed.processes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** One process of an edge node. Its log's lines come one after another on a thread of its own. */
public final class NodeProcess {
  /** What can be sent to a process. */
  public enum Signal {
    KILL,
    TERM,
    HUP,
    STOP,
    CONT
  }

  /** A line of its log, with the time at which it came, in nanoseconds of the JVM's clock. */
  public record Line(long at, String text) {}

  private final Process process;
  private final CompletableFuture<Integer> ended;

  private NodeProcess(Process process, CompletableFuture<Integer> ended) {
    this.process = process;
    this.ended = ended;
  }

  /**
   * Begins a process as the deploy file says.
   *
   * @param folder its {@code $TMPDIR}, which must exist
   * @param variables what it is told besides, such as {@code GW_CONFIG}
   * @param log hears its standard output and error
   */
  public static NodeProcess start(
      DeployFile deploy,
      Path folder,
      Map<String, String> variables,
      ProcessGuard guard,
      Consumer<Line> log)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", deploy.run())
            .directory(deploy.root().toFile())
            .redirectErrorStream(true)
            .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
    builder.environment().putAll(variables);
    builder.environment().put("TMPDIR", folder.toString());
    Process process = builder.start();
    guard.keep(process.pid());
    CompletableFuture<Integer> ended =
        process
            .onExit()
            .thenApply(
                done -> {
                  try {
                    guard.forget(done.pid());
                  } catch (IOException e) {
                    // The guard is gone, and with it all that it kept.
                  }
                  return done.exitValue();
                });
    Thread reader = new Thread(() -> read(process, log), "log of " + process.pid());
    reader.setDaemon(true);
    reader.start();
    return new NodeProcess(process, ended);
  }

  private static void read(Process process, Consumer<Line> log) {
    try (BufferedReader lines = process.inputReader()) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        log.accept(new Line(System.nanoTime(), line));
      }
    } catch (IOException | UncheckedIOException e) {
      // The process was killed in the middle of a line.
    }
  }

  /** Its number; the shell that began it has become it. */
  public long pid() {
    return process.pid();
  }

  /**
   * Completes with its status when it has ended: below 128 its own, else 128 and the signal that
   * ended it.
   */
  public CompletableFuture<Integer> ended() {
    return ended;
  }

  /** Sends a signal; nothing happens if it has ended. */
  public void signal(Signal what) throws IOException {
    if (process.isAlive()) {
      try {
        new ProcessBuilder("kill", "-" + what, Long.toString(pid())).start().waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
