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
 * An edge node in a process of its own that was begun with signals ignored, as nohup and some
 * supervisors do it.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalsTest extends NodeTest {
  @TempDir Path folder;

  private static List<String> ignoring(String signals, String... then) {
    List<String> words =
        new ArrayList<>(List.of("sh", "-c", "trap '' " + signals + "; exec \"$@\"", "sh"));
    words.addAll(List.of(then));
    return words;
  }

  private Path written(String name) throws Exception {
    return Files.writeString(folder.resolve(name), config());
  }

  /**
   * Discovery's old address went on being watched to the process's end, and servers that drained
   * were sent to.
   */
  @Test
  void aNodeThatNoSighupReachesFollowsItsNewConfiguration() throws Exception {
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = written("node.json");
    Process process = startProcess(file, ignoring("HUP"));
    nextLogLine(process, "signal_ignored signal=SIGHUP config_poll_ms=500");
    awaitListenAddress(process);
    discovery.next();
    discovery = peer(m -> never.join());
    Files.move(written("next.json"), file, StandardCopyOption.REPLACE_EXISTING);
    sendSignal(process, "HUP");
    assertTrue(discovery.next().startLine().contains("watch=1"));
    process.destroy();
    assertEquals(0, process.waitFor());
  }

  @Test
  void aNodeThatNoSigtermReachesSaysSoAndDrainsByHand() throws Exception {
    Path file = written("node.json");
    Files.writeString(
        file, Files.readString(file).replaceFirst("\\{", "{\"ops\":\"127.0.0.1:0\","));
    Process process = startProcess(file, ignoring("TERM"));
    Matcher ops =
        Pattern.compile("operators_listening address=.*:(\\d+)")
            .matcher(nextLogLine(process, "operators_listening"));
    assertTrue(ops.matches());
    nextLogLine(process, "signal_ignored signal=SIGTERM");
    awaitListenAddress(process);
    sendSignal(process, "TERM");
    try (Socket call = new Socket("127.0.0.1", Integer.parseInt(ops.group(1)))) {
      call.getOutputStream().write("drain-on\n".getBytes());
      assertEquals("ACK\n", new String(call.getInputStream().readAllBytes()));
    }
    assertTrue(process.isAlive());
  }

  /**
   * The words before java are those of the deploy file: with them it does not matter how the node
   * was begun.
   */
  @Test
  void begunAsTheDeployFileSaysItCatchesWhatWasIgnored() throws Exception {
    String run =
        Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    Matcher words = Pattern.compile("run = \"exec (.*) java .*").matcher(run);
    assertTrue(words.matches(), run);
    CompletableFuture<Void> never = new CompletableFuture<>();
    discovery = peer(m -> never.join());
    Path file = written("node.json");
    Process process = startProcess(file, ignoring("HUP INT TERM", words.group(1).split(" ")));
    awaitListenAddress(process);
    assertFalse(
        SignalDispositions.parse(Files.readString(Path.of("/proc/" + process.pid() + "/status")))
            .isIgnored(SignalDispositions.SIGHUP));
    discovery.next();
    discovery = peer(m -> never.join());
    Files.move(written("next.json"), file, StandardCopyOption.REPLACE_EXISTING);
    sendSignal(process, "HUP");
    assertTrue(discovery.next().startLine().contains("watch=1"));
    sendSignal(process, "TERM");
    assertTrue(
        nextLogLine(process, "drained ")
            .matches("drained longest_loop_stall_ms=\\d+ longest_discovery_wait_ms=\\d+"));
    assertEquals(0, process.waitFor());
  }

  /** On-call staff once had to notice two lines that did not come. */
  @Test
  void aDiscoveryThatIsNotHeardForTooLongIsInTheLogAndInTheFigures() throws Exception {
    discovery.close();
    Process process = startProcess(written("node.json"), List.of());
    awaitListenAddress(process);
    Matcher silence =
        Pattern.compile("discovery_unreachable silent_ms=(\\d+) address=\\S+ revision=\\d+")
            .matcher(nextLogLine(process, "discovery_unreachable"));
    assertTrue(silence.matches());
    assertTrue(Long.parseLong(silence.group(1)) >= 6_000, silence.group());
    CompletableFuture<Void> go = new CompletableFuture<>();
    discovery =
        peer(
            m -> {
              go.join();
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
    go.complete(null);
    while (node.metrics.millisSinceDiscoveryMessage() >= 50) {
      assertNull(process.onExit().getNow(null));
    }
  }

  @Test
  void theKernelsMaskIsReadBySignal() {
    SignalDispositions read =
        SignalDispositions.parse(
            "SigBlk:\t0000000000000000\nSigIgn:\t0000000000004001\nSigCgt:\t01\n");
    assertTrue(read.isIgnored(SignalDispositions.SIGHUP));
    assertTrue(read.isIgnored(SignalDispositions.SIGTERM));
    assertFalse(read.isIgnored(2));
    assertFalse(SignalDispositions.parse("").isIgnored(SignalDispositions.SIGHUP));
  }

  @Test
  void aChangeIsSeenOnceHoweverTheFileChanges() throws Exception {
    Path file = Files.writeString(folder.resolve("c"), "one");
    ConfigFileWatcher watch = new ConfigFileWatcher(file, "one");
    assertFalse(watch.pollForChange());
    FileTime time = Files.getLastModifiedTime(file);
    Files.writeString(file, "two");
    Files.setLastModifiedTime(file, time);
    assertTrue(watch.pollForChange(), "the same length, within one tick of the file's time");
    assertFalse(watch.pollForChange());
    Files.delete(file);
    assertFalse(watch.pollForChange());
    Files.writeString(file, "two");
    assertFalse(watch.pollForChange(), "the same text as before");
    Path old = Files.writeString(folder.resolve("d"), "six");
    Files.setLastModifiedTime(old, FileTime.from(1_000, TimeUnit.SECONDS));
    Files.move(old, file, StandardCopyOption.REPLACE_EXISTING);
    assertTrue(watch.pollForChange(), "by another file with an old time");
    assertFalse(watch.pollForChange());
  }

  @Test
  void theArchiveOfTheBuildIsToldFromThatOfTheJdk() {
    String base = "7fff-8000 rw-p 0 00:00 1 /jdk/lib/server/classes.jsa\n";
    assertFalse(ClassArchive.isMapped(base, "/jdk"));
    assertTrue(
        ClassArchive.isMapped(
            base + "8000-9000 r--p 0 00:00 2 /srv/target/edge-gateway.jsa\n", "/jdk"));
  }
}
