package thistlefall.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * Listens where no connection comes up, as behind a cut: its queue is full of connections of its own, which it never
 * accepts, and Linux then drops every further SYN (listen(2), tcp(7)).
 */
final class DeafListener implements AutoCloseable {
    /** The least queue that there is takes one or two; a connect that hangs so long has met a full one. */
    private static final int MOST = 16, HANGS_MS = 100;

    private final ServerSocket socket = new ServerSocket();
    private final List<Socket> filling = new ArrayList<>();

    DeafListener(InetSocketAddress at) throws IOException {
        try {
            socket.setReuseAddress(true);
            socket.bind(at, 1);
            fill(at);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void fill(InetSocketAddress at) throws IOException {
        while (filling.size() < MOST) {
            Socket one = new Socket();
            filling.add(one);
            try {
                one.connect(at, HANGS_MS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new IOException("the queue at " + at + " does not fill");
    }

    @Override
    public void close() throws IOException {
        for (Socket one : filling) {
            one.close();
        }
        socket.close();
    }
}
