import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a free loopback port, with a thread for each connection. */
abstract class Peer implements Closeable {
  /** One connection that was accepted. */
  static final class Link {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Link(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Whether the other side has neither closed nor reset the connection. */
    boolean isOpen() {
      try {
        socket.setSoTimeout(1);
        in.mark(1);
        int next = in.read();
        in.reset();
        return next >= 0;
      } catch (java.net.SocketTimeoutException e) {
        return true;
      } catch (IOException e) {
        return false;
      } finally {
        try {
          socket.setSoTimeout(0);
        } catch (IOException e) {
          // The next read fails.
        }
      }
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  final ServerSocket listener;
  final Set<Link> links = ConcurrentHashMap.newKeySet();

  Peer() throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress("127.0.0.1", 0), 1024);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void start() {
    thread(
        () -> {
          while (!listener.isClosed()) {
            Socket socket = listener.accept();
            thread(() -> serveAndClose(socket));
          }
        });
  }

  private void serveAndClose(Socket socket) throws Exception {
    Link link = new Link(socket);
    links.add(link);
    try (socket) {
      serve(link);
    } finally {
      links.remove(link);
    }
  }

  abstract void serve(Link link) throws Exception;

  @Override
  public void close() throws IOException {
    listener.close();
    for (Link link : links) {
      link.reset();
    }
  }

  interface Job {
    void run() throws Exception;
  }

  static Thread thread(Job job) {
    Thread thread =
        new Thread(
            () -> {
              try {
                job.run();
              } catch (IOException e) {
                // The other side is gone.
              } catch (Exception e) {
                Record.line("stand-in failed: %s", e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
