package edgegateway.testbed.processes;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Ends the lab's processes with the lab, however that ends: a shell that reads which ones live, and
 * kills them when its input ends, as it does when this process is killed.
 */
public final class ProcessGuard implements AutoCloseable {
  private static final String SCRIPT =
      "trap '' HUP INT TERM; all=' '; while read -r what pid; do case $what in "
          + "+) all=\"$all$pid \";; -) all=\"${all%% $pid *} ${all#* $pid }\";; esac; done; "
          + "for pid in $all; do kill -KILL \"$pid\"; done 2> /dev/null";

  private final Process shell;
  private final OutputStream to;

  /** Starts to watch. */
  public ProcessGuard() throws IOException {
    shell =
        new ProcessBuilder("/bin/sh", "-c", SCRIPT)
            .inheritIO()
            .redirectInput(ProcessBuilder.Redirect.PIPE)
            .start();
    to = shell.getOutputStream();
  }

  /** From now on this process ends with the lab. */
  void keep(long pid) throws IOException {
    say("+ " + pid);
  }

  /** This process has ended: its number may become another's. */
  void forget(long pid) throws IOException {
    say("- " + pid);
  }

  private synchronized void say(String line) throws IOException {
    to.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
    to.flush();
  }

  /** Kills what still lives, and returns when that is done. */
  @Override
  public void close() throws IOException {
    to.close();
    try {
      shell.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
