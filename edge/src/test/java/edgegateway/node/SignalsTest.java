package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.lifecycle.ClassArchive;
import edgegateway.node.lifecycle.ConfigFileWatcher;
import edgegateway.node.lifecycle.SignalDispositions;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Edge nodes in processes of their own. Most are started with signals ignored, as nohup and some
 * supervisors do; a process inherits ignored signals. Also tests classes that such a process uses.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalsTest extends NodeTest {
  @TempDir Path folder;

  /** Returns a shell command that ignores the signals and then executes the given command. */
  private static List<String> commandIgnoring(String signals, String... command) {
    List<String> shellCommand =
        new ArrayList<>(List.of("sh", "-c", "trap '' " + signals + "; exec \"$@\"", "sh"));
    shellCommand.addAll(List.of(command));
    return shellCommand;
  }

  private Path writeConfig(String fileName) throws Exception {
    return Files.writeString(folder.resolve(fileName), config());
  }

  /**
   * Guards against a node that watches discovery at the old address until it exits and so sends
   * requests to archive servers that drain.
   */
  @Test
  void aProcessThatIgnoresSighupPollsForANewConfiguration() throws Exception {
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = writeConfig("node.json");
    Process process = startProcess(file, commandIgnoring("HUP"));
    nextLogLine(process, "signal_ignored signal=SIGHUP config_poll_ms=500");
    awaitListenAddress(process);
    discovery.next();
    discovery = peer(m -> never.join());
    Files.move(writeConfig("next.json"), file, StandardCopyOption.REPLACE_EXISTING);
    sendSignal(process, "HUP");
    assertTrue(discovery.next().startLine().contains("watch=1"));
    process.destroy();
    assertEquals(0, process.waitFor());
  }

  @Test
  void aProcessThatIgnoresSigtermLogsThisAndAcceptsADrainCall() throws Exception {
    Path file = writeConfig("node.json");
    Files.writeString(
        file, Files.readString(file).replaceFirst("\\{", "{\"ops\":\"127.0.0.1:0\","));
    Process process = startProcess(file, commandIgnoring("TERM"));
    Matcher listening =
        Pattern.compile("operators_listening address=.*:(\\d+)")
            .matcher(nextLogLine(process, "operators_listening"));
    assertTrue(listening.matches());
    nextLogLine(process, "signal_ignored signal=SIGTERM");
    awaitListenAddress(process);
    sendSignal(process, "TERM");
    try (Socket call = new Socket("127.0.0.1", Integer.parseInt(listening.group(1)))) {
      call.getOutputStream().write("drain-on\n".getBytes());
      assertEquals("ACK\n", new String(call.getInputStream().readAllBytes()));
    }
    assertTrue(process.isAlive());
  }

  /**
   * The part of the run command in deploy/balancer.toml before {@code java} makes the process
   * handle signals that its parent ignores.
   */
  @Test
  void theDeployCommandStartsAProcessThatHandlesInheritedIgnoredSignals() throws Exception {
    String run =
        Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    Matcher wrapper = Pattern.compile("run = \"exec (.*) java .*").matcher(run);
    assertTrue(wrapper.matches(), run);
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = writeConfig("node.json");
    Process process =
        startProcess(file, commandIgnoring("HUP INT TERM", wrapper.group(1).split(" ")));
    awaitListenAddress(process);
    assertFalse(
        SignalDispositions.parse(Files.readString(Path.of("/proc/" + process.pid() + "/status")))
            .isIgnored(SignalDispositions.SIGHUP));
    discovery.next();
    discovery = peer(m -> never.join());
    Files.move(writeConfig("next.json"), file, StandardCopyOption.REPLACE_EXISTING);
    sendSignal(process, "HUP");
    assertTrue(discovery.next().startLine().contains("watch=1"));
    sendSignal(process, "TERM");
    assertTrue(
        nextLogLine(process, "drained ")
            .matches("drained longest_loop_stall_ms=\\d+ longest_discovery_wait_ms=\\d+"));
    assertEquals(0, process.waitFor());
  }

  /**
   * Guards against an outage of discovery that on-call staff could only notice by the absence of
   * two log lines.
   */
  @Test
  void anUnreachableDiscoveryIsLoggedAndShownInTheMetrics() throws Exception {
    discovery.close();
    Process process = startProcess(writeConfig("node.json"), List.of());
    awaitListenAddress(process);
    Matcher unreachable =
        Pattern.compile("discovery_unreachable silent_ms=(\\d+) address=\\S+ revision=\\d+")
            .matcher(nextLogLine(process, "discovery_unreachable"));
    assertTrue(unreachable.matches());
    assertTrue(Long.parseLong(unreachable.group(1)) >= 6_000, unreachable.group());
    CompletableFuture<Void> startAnswering = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              startAnswering.join();
              m.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
              while (true) {
                m.answer("1\r\n\n\r\n");
              }
            });
    EdgeNode node = startNode(config());
    while (node.metrics.millisSinceDiscoveryMessage() < 50) {
      assertNull(process.onExit().getNow(null));
    }
    assertTrue(
        Pattern.compile("^app.discovery.silent_ms=\\d+$", Pattern.MULTILINE)
            .matcher(node.metrics.render())
            .find());
    startAnswering.complete(null);
    while (node.metrics.millisSinceDiscoveryMessage() >= 50) {
      assertNull(process.onExit().getNow(null));
    }
  }

  @Test
  void theMaskOfIgnoredSignalsIsParsed() {
    SignalDispositions dispositions =
        SignalDispositions.parse(
            "SigBlk:\t0000000000000000\nSigIgn:\t0000000000004001\nSigCgt:\t01\n");
    assertTrue(dispositions.isIgnored(SignalDispositions.SIGHUP));
    assertTrue(dispositions.isIgnored(SignalDispositions.SIGTERM));
    assertFalse(dispositions.isIgnored(2));
    assertFalse(SignalDispositions.parse("").isIgnored(SignalDispositions.SIGHUP));
  }

  @Test
  void eachChangeOfTheConfigurationFileIsReportedOnce() throws Exception {
    Path file = Files.writeString(folder.resolve("c"), "one");
    ConfigFileWatcher watcher = new ConfigFileWatcher(file, "one");
    assertFalse(watcher.pollForChange());
    FileTime firstWriteTime = Files.getLastModifiedTime(file);
    Files.writeString(file, "two");
    Files.setLastModifiedTime(file, firstWriteTime);
    assertTrue(
        watcher.pollForChange(), "a change that keeps length and modification time was missed");
    assertFalse(watcher.pollForChange());
    Files.delete(file);
    assertFalse(watcher.pollForChange());
    Files.writeString(file, "two");
    assertFalse(watcher.pollForChange(), "the same content was reported as a change");
    Path replacement = Files.writeString(folder.resolve("d"), "six");
    Files.setLastModifiedTime(replacement, FileTime.from(1_000, TimeUnit.SECONDS));
    Files.move(replacement, file, StandardCopyOption.REPLACE_EXISTING);
    assertTrue(watcher.pollForChange(), "a replacement with an older modification time was missed");
    assertFalse(watcher.pollForChange());
  }

  @Test
  void theClassArchiveOfTheBuildIsDistinguishedFromThatOfTheJdk() {
    String jdkArchiveLine = "7fff-8000 rw-p 0 00:00 1 /jdk/lib/server/classes.jsa\n";
    assertFalse(ClassArchive.isMapped(jdkArchiveLine, "/jdk"));
    assertTrue(
        ClassArchive.isMapped(
            jdkArchiveLine + "8000-9000 r--p 0 00:00 2 /srv/target/edge-gateway.jsa\n", "/jdk"));
  }
}
