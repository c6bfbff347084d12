package edgegateway.testbed.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Listens where no connection comes up, as behind a cut: its queue is full of connections of its
 * own, which it never accepts, and Linux then drops every further SYN (listen(2), tcp(7)).
 */
final class UnresponsiveListener implements AutoCloseable {
  private static final int LINE = 1;

  private final ServerSocket socket = new ServerSocket();
  private final List<Socket> filling = new ArrayList<>();

  UnresponsiveListener(InetSocketAddress at) throws IOException {
    try {
      socket.setReuseAddress(true);
      socket.bind(at, LINE);
      // Linux takes one more than the line is long.
      for (int i = 0; i <= LINE; i++) {
        filling.add(new Socket(at.getAddress(), at.getPort()));
      }
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket one : filling) {
      one.close();
    }
    socket.close();
  }
}
