import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A listening socket on a free loopback port; each connection has a thread of its own. */
class Listener {
  interface Handler {
    void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
  }

  final ServerSocket server = new ServerSocket();
  private final Handler handler;

  Listener(Handler handler) throws IOException {
    this(handler, 0);
  }

  /** A receive buffer of 0 bytes means the system's own. */
  Listener(Handler handler, int receiveBuffer) throws IOException {
    this.handler = handler;
    if (receiveBuffer > 0) {
      server.setReceiveBufferSize(receiveBuffer);
    }
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    daemon(this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  int port() {
    return server.getLocalPort();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      handler.handle(
          socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
    } catch (Exception e) {
      // The peer has gone.
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A port that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return probe.getLocalPort();
    }
  }
}
