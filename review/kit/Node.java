import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An edge node: the command `run` of the deploy file as a process of its own. */
final class Node {
  private static final java.util.Set<Process> STARTED = java.util.concurrent.ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  final String name;
  final String listen;
  final String ops;
  final Path temporary;
  final Path config;
  final Path log;
  final Process process;

  private Node(
      String name, String listen, String ops, Path temporary, Path config, Path log, Process process) {
    this.name = name;
    this.listen = listen;
    this.ops = ops;
    this.temporary = temporary;
    this.config = config;
    this.log = log;
    this.process = process;
  }

  static Path root() {
    return Path.of(System.getProperty("root"));
  }

  static Path work() {
    return Path.of(System.getProperty("work"));
  }

  private static String runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root().resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command `run`");
    }
    return run.group(1);
  }

  /** Starts a node of a small deployment; settings is the JSON object of its settings. */
  static Node start(
      String name, String settings, Discovery discovery, Counter counter, int sockets)
      throws Exception {
    Path temporary = Files.createDirectory(work().resolve(name + ".tmp"));
    String listen = "127.0.0.1:" + Listener.freePort();
    return start(name, listen, temporary, settings, discovery, counter, sockets);
  }

  /** A first process, with a list of its own that may be old. */
  static Node start(
      String name, String settings, String discovery, String known, Counter counter, int sockets)
      throws Exception {
    Path temporary = Files.createDirectory(work().resolve(name + ".tmp"));
    String listen = "127.0.0.1:" + Listener.freePort();
    return start(name, listen, temporary, settings, discovery, known, counter, sockets);
  }

  /** A further process at the same address and with the same temporary folder: an upgrade. */
  static Node start(
      String name,
      String listen,
      Path temporary,
      String settings,
      Discovery discovery,
      Counter counter,
      int sockets)
      throws Exception {
    return start(
        name, listen, temporary, settings, discovery.listener.address(), discovery.list(), counter, sockets);
  }

  private static Node start(
      String name,
      String listen,
      Path temporary,
      String settings,
      String discovery,
      String known,
      Counter counter,
      int sockets)
      throws Exception {
    String ops = "127.0.0.1:" + Listener.freePort();
    String unique = name + "-" + System.nanoTime();
    Path config = work().resolve(unique + ".json");
    Path log = work().resolve(unique + ".log");
    String text =
        String.format(
            "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"counter\":\"%s\",\"ops\":\"%s\","
                + "\"seed\":\"%016x\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":%d},"
                + "\"known\":%s,\"settings\":%s}",
            name,
            listen,
            discovery,
            counter.listener.address(),
            ops,
            System.nanoTime() * 0x9E3779B97F4A7C15L,
            sockets,
            known,
            settings);
    Files.writeString(config, text);
    ProcessBuilder builder = new ProcessBuilder(List.of("/bin/sh", "-c", runCommand()));
    builder.directory(root().toFile());
    builder.environment().put("GW_NAME", name);
    builder.environment().put("GW_LISTEN", listen);
    builder.environment().put("GW_DISCOVERY", discovery);
    builder.environment().put("GW_CONFIG", config.toString());
    builder.environment().put("GW_OPS", ops);
    builder.environment().put("TMPDIR", temporary.toString());
    builder.redirectErrorStream(true).redirectOutput(log.toFile()).redirectInput(new File("/dev/null"));
    Process process = builder.start();
    STARTED.add(process);
    Record.line("node %s starts: pid %d, clients at %s", name, process.pid(), listen);
    return new Node(name, listen, ops, temporary, config, log, process);
  }

  int port() {
    return Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
  }

  /** Waits until GET /_health answers 200. */
  void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket("127.0.0.1", port())) {
        socket.setSoTimeout(1_000);
        socket.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".getBytes());
        Http answer = Http.readResponse(socket.getInputStream());
        if (answer != null && answer.status() == 200) {
          Record.line("node %s is ready", name);
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      if (!process.isAlive()) {
        break;
      }
      Thread.sleep(50);
    }
    throw new IOException("node " + name + " did not get ready: " + Files.readString(log));
  }

  /** One call at the operators' address. */
  String operator(String line) throws IOException {
    String port = ops.substring(ops.indexOf(':') + 1);
    try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(port))) {
      socket.setSoTimeout(2_000);
      socket.getOutputStream().write((line + "\n").getBytes());
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).trim();
    }
  }

  void signal(String name) throws Exception {
    Record.line("SIG%s to node %s (pid %d)", name, this.name, process.pid());
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }
}
