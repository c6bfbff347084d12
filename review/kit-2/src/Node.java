import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;

/** One edge node: a process of the deploy file's run command. */
final class Node implements Closeable {
  static final Path ROOT = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
  private static int started;

  final String name;
  final String listen;
  final String ops;
  final Path folder;
  final Path shared;
  final Process process;
  final Path log;

  /** Starts an edge node; shared is the $TMPDIR, given on by the process that this one replaces, or null. */
  Node(String name, String listen, String config, Path shared) throws Exception {
    this.name = name;
    this.listen = listen;
    ops = "127.0.0.1:" + freePort();
    folder = Files.createTempDirectory("review-");
    this.shared = shared != null ? shared : Files.createDirectory(folder.resolve("tmp"));
    Path configFile = folder.resolve("config.json");
    Files.writeString(configFile, config.replace("@LISTEN", listen).replace("@OPS", ops).replace("@NAME", name));
    log = folder.resolve("log");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.directory(ROOT.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
    builder.environment().putAll(
        Map.of("GW_NAME", name, "GW_LISTEN", listen, "GW_OPS", ops, "GW_CONFIG", configFile.toString(),
            "TMPDIR", this.shared.toString()));
    process = builder.start();
    Process child = process;
    Runtime.getRuntime().addShutdownHook(new Thread(child::destroyForcibly));
    Record.line("%s starts, process %d of this run", name, ++started);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      return socket.getLocalPort();
    }
  }

  private static String runCommand() throws IOException {
    for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("no run command in the deploy file");
  }

  /** Waits until the clients' address answers health calls with 200; false after 30 s. */
  boolean awaitReady() throws Exception {
    for (int i = 0; i < 600; i++) {
      if (!process.isAlive()) {
        return false;
      }
      if (health() == 200) {
        Record.line("%s is ready", name);
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** The status of GET /_health on a new connection; 0 if there is none. */
  int health() {
    try (Client client = new Client(listen)) {
      client.socket.setSoTimeout(2_000);
      client.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
      Http.Message answer = client.answer();
      return answer == null ? 0 : answer.status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** An operator's call: the first line of the answer, or all lines of it. */
  String call(String line) throws IOException {
    String[] parts = ops.split(":");
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
      socket.setSoTimeout(2_000);
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      BufferedReader reader =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      StringBuilder answer = new StringBuilder();
      for (String next = reader.readLine(); next != null; next = reader.readLine()) {
        answer.append(answer.length() == 0 ? "" : "\n").append(next);
      }
      if (!line.equals("check") && !line.equals("vars")) {
        Record.line("operator at %s: %s -> %s", name, line, answer);
      }
      return answer.toString();
    } catch (java.net.ConnectException e) {
      return "";
    }
  }

  void signal(String signal) throws Exception {
    Record.line("%s gets SIG%s", name, signal);
    new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).inheritIO().start().waitFor();
  }

  /** SIGKILL; returns whether the process was still running. */
  boolean kill() throws Exception {
    boolean running = process.isAlive();
    if (running) {
      Record.line("%s gets SIGKILL", name);
    } else {
      Record.line("%s had ended with %d", name, process.exitValue());
    }
    process.destroyForcibly().waitFor();
    return running;
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor();
      for (String line : Files.readAllLines(log)) {
        Record.line("log of %s: %s", name, line);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      Record.line("the folder was left: %s", e);
    }
  }
}
