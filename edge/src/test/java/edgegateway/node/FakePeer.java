package edgegateway.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A scripted HTTP/1.1 server on loopback, built on plain sockets. It plays an archive server,
 * discovery or the counter, and records the messages it receives.
 */
final class FakePeer implements AutoCloseable {
  /**
   * A request that the peer received, or a response that a test read.
   *
   * @param startLine the request line or the status line
   * @param headers by lower-case name
   * @param socket the connection that it came over
   */
  record Message(String startLine, Map<String, String> headers, String body, Socket socket) {
    void answer(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
    }
  }

  /** Handles a request: may answer it, close the connection, or do nothing. */
  interface Script {
    void on(Message message) throws IOException, InterruptedException;
  }

  /** The requests received on all connections, in order of their arrival. */
  final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

  /** The connections on which the node sent the end of the stream. A reset adds nothing. */
  final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();

  private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final AtomicInteger accepted = new AtomicInteger();

  FakePeer(Script script) throws IOException {
    startDaemon(
        () -> {
          while (true) {
            Socket socket = listening.accept();
            accepted.incrementAndGet();
            startDaemon(
                () -> {
                  for (Message m = read(socket); m != null; m = read(socket)) {
                    received.add(m);
                    script.on(m);
                  }
                  closedConnections.add(socket);
                });
          }
        });
  }

  /** Work of a thread that ends with its connection. */
  interface Task {
    void run() throws IOException, InterruptedException;
  }

  /** Runs a task on a thread of its own, which ends silently when the task's socket is closed. */
  static Thread startDaemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The node closed the connection, or the test ended and closed the peer.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** The number of connections accepted so far. */
  int accepted() {
    return accepted.get();
  }

  /** Returns the next received request; fails after 30 seconds without any. */
  Message next() throws InterruptedException {
    Message message = received.poll(30, TimeUnit.SECONDS);
    if (message == null) {
      throw new AssertionError("no request was received within 30 seconds");
    }
    return message;
  }

  /**
   * A response with status 200.
   *
   * @param headers header lines, each with its CR LF; may be empty
   * @param body ASCII only, as its length is sent as the content length
   */
  static String ok(String headers, String body) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Reads a request or a response; null if the stream ended before its headers. */
  static Message read(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Message(
        startLine, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8), socket);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.UTF_8).trim();
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
