package edgegateway.testbed.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Calls an edge node as operators do ({@code docs/operating.md}). */
public final class OperatorClient {
  private static final int WAIT_MS = 2_000;

  private OperatorClient() {}

  /** The whole answer to one line; it fails if none comes in 2 s. */
  public static String call(InetSocketAddress at, String line) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(at, WAIT_MS);
      socket.setSoTimeout(WAIT_MS);
      socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** The figures in a text of {@code NAME=NUMBER} lines; other lines are passed over. */
  public static Map<String, Long> figures(String text) {
    Map<String, Long> figures = new TreeMap<>();
    text.lines()
        .map(line -> line.split("="))
        .filter(pair -> pair.length == 2 && pair[1].matches("-?\\d{1,18}"))
        .forEach(pair -> figures.put(pair[0], Long.parseLong(pair[1])));
    return figures;
  }
}
