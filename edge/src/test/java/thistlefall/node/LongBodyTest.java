package thistlefall.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.PooledByteBufAllocator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bodies that are longer than what is held, in the forms of HTTP/1.1. */
@Timeout(60)
class LongBodyTest extends NodeTest {
    private static final byte[] BODY = new byte[3_000_000];

    static {
        new Random(5).nextBytes(BODY);
    }

    /** What a server did not read of a connection it reads itself. */
    private interface Script {
        void on(Socket socket) throws IOException, InterruptedException;
    }

    private String server(Script script) throws IOException {
        ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        toClose.add(listening);
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    toClose.add(socket);
                    script.on(socket);
                }
            } catch (IOException | InterruptedException e) {
                // The test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return "127.0.0.1:" + listening.getLocalPort();
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static void say(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static byte[] chunked(byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; at += 50_001) {
            int length = Math.min(50_001, body.length - at);
            say(out, Integer.toHexString(length) + "\r\n");
            out.write(body, at, length);
            say(out, "\r\n");
        }
        say(out, "0\r\nX-Sum: 1\r\n\r\n");
        return out.toByteArray();
    }

    private static byte[] unchunk(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                size.append((char) b);
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            out.write(in.readNBytes(length));
            in.readNBytes(2);
            if (length == 0) {
                return out.toByteArray();
            }
        }
    }

    private static String lookup(String id, String version) {
        StringBuilder text = new StringBuilder("GET /api ").append(version).append("\r\n");
        headers(id, "lookup", "20000").forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.append("\r\n").toString();
    }

    private static String order(String id, String more) {
        StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\n");
        headers(id, "order", "20000").forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        return text.append(more).append("\r\n\r\n").toString();
    }

    @Test
    void aLongAnswerComesWholeInEachForm() throws Exception {
        byte[] chunked = chunked(BODY);
        for (String form : new String[] {"Content-Length: " + BODY.length, "Transfer-Encoding: chunked", "Connection: close"}) {
            String at = server(socket -> {
                while (head(socket.getInputStream()) != null) {
                    say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\n" + form + "\r\n\r\n");
                    socket.getOutputStream().write(form.startsWith("T") ? chunked : BODY);
                    if (form.startsWith("Connection")) {
                        socket.close();
                        return;
                    }
                }
            });
            EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
            Socket client = client(node);
            say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
            String head = head(client.getInputStream());
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            byte[] body = head.contains("chunked") ? unchunk(client.getInputStream())
                : client.getInputStream().readNBytes(BODY.length);
            assertArrayEquals(BODY, body, form);
            // The connection goes on; an older client gets it until the close.
            say(client.getOutputStream(), lookup("t-2", "HTTP/1.0"));
            head = head(client.getInputStream());
            assertTrue(!head.contains("chunked"), head);
            assertArrayEquals(BODY, client.getInputStream().readAllBytes(), form);
        }
    }

    /** What is begun can't be replaced: its client has to see that it is not whole. */
    /** A spoilt answer may promise what never comes: its client has a final answer in its time, and no part of it. */
    @Test
    void anAnswerThatPromisesMoreThanItSendsIsNotPassedOn() throws Exception {
        String at = server(socket -> {
            head(socket.getInputStream());
            say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc");
            socket.getInputStream().read();
        });
        EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
        Socket client = client(node);
        client.setSoTimeout(5_500);
        write(client, "POST /api?slot=4", headers("t-1", "order", "5000"), "book");
        String head = head(client.getInputStream());
        assertTrue(head.startsWith("HTTP/1.1 5"), head);
    }

    @Test
    void aLongAnswerThatBreaksEndsTheConnectionShort() throws Exception {
        String at = server(socket -> {
            head(socket.getInputStream());
            say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length + "\r\n\r\n");
            socket.getOutputStream().write(BODY, 0, BODY.length / 2);
            socket.close();
        });
        EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
        Socket client = client(node);
        say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
        assertTrue(head(client.getInputStream()).contains("200"));
        assertTrue(client.getInputStream().readAllBytes().length < BODY.length);
        while (!node.figures.text().contains("app.handled.lookup.bad_gateway=1")) {
            assertTrue(!Thread.interrupted(), node.figures.text());
        }
        assertTrue(node.figures.text().contains("app.in_progress=0"));
    }

    /** A client that does not read must not have the whole answer wait in memory. */
    @Test
    void aSlowReaderHoldsItsServerBack() throws Exception {
        CompletableFuture<Integer> stuck = new CompletableFuture<>();
        String at = server(socket -> {
            head(socket.getInputStream());
            say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 33000000\r\n\r\n");
            for (int i = 0; i < 11; i++) {
                socket.getOutputStream().write(BODY);
                stuck.complete(i);
            }
        });
        EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
        Socket client = client(node);
        client.setReceiveBufferSize(64 << 10);
        say(client.getOutputStream(), lookup("t-1", "HTTP/1.1"));
        head(client.getInputStream());
        long before = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
        for (int i = 0; i < 11; i++) {
            assertArrayEquals(BODY, client.getInputStream().readNBytes(BODY.length), "part " + i);
            long now = PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
            assertTrue(now - before < 12 << 20, "memory for buffers grew by " + (now - before));
        }
    }

    @Test
    void aLongRequestGoesOnWholeInEachForm() throws Exception {
        BlockingQueue<byte[]> came = new LinkedBlockingQueue<>();
        String at = server(socket -> {
            for (String head = head(socket.getInputStream()); head != null; head = head(socket.getInputStream())) {
                came.add(head.contains("chunked") ? unchunk(socket.getInputStream())
                    : socket.getInputStream().readNBytes(Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"))));
                say(socket.getOutputStream(), Peer.ok("", "done"));
            }
        });
        EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
        Socket client = client(node);
        say(client.getOutputStream(), order("t-1", "Expect: 100-continue\r\nContent-Length: " + BODY.length));
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 100"));
        client.getOutputStream().write(BODY);
        assertEquals("done", Peer.read(client).body());
        assertArrayEquals(BODY, came.poll(30, TimeUnit.SECONDS));
        say(client.getOutputStream(), order("t-2", "Transfer-Encoding: chunked"));
        client.getOutputStream().write(chunked(BODY));
        // The next one comes right behind it.
        order(client, "t-3");
        assertEquals("done", Peer.read(client).body());
        assertArrayEquals(BODY, came.poll(30, TimeUnit.SECONDS));
        assertEquals("done", Peer.read(client).body());
        assertEquals("book", new String(came.poll(30, TimeUnit.SECONDS), StandardCharsets.UTF_8));
    }

    /** A part of it was let go, so that no second server may get what would not be whole. */
    @Test
    void aLongRequestThatWasPassedOnIsNotSentAgain() throws Exception {
        BlockingQueue<String> heads = new LinkedBlockingQueue<>();
        Script cut = socket -> {
            heads.add(head(socket.getInputStream()));
            socket.getInputStream().readNBytes(BODY.length / 2);
            socket.close();
        };
        EdgeNode node = start(config(member("s-0", server(cut), "Ready", 0), member("s-1", server(cut), "Ready", 0)));
        Socket client = client(node);
        say(client.getOutputStream(), order("t-1", "Content-Length: " + BODY.length));
        CompletableFuture.runAsync(() -> {
            try {
                client.getOutputStream().write(BODY);
            } catch (IOException e) {
                // It ends before all of it is taken.
            }
        });
        String head = head(client.getInputStream());
        // Whether its connection ends depends on how much of it the kernel took before.
        assertTrue(head.startsWith("HTTP/1.1 50"), head);
        assertEquals(1, heads.size());
    }

    /** The client leaves in the midst of it: its server must not wait for the rest. */
    @Test
    void aClientThatLeavesEndsBothWays() throws Exception {
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        String at = server(socket -> {
            InputStream in = socket.getInputStream();
            if (head(in).startsWith("POST")) {
                int left = in.readAllBytes().length;
                ended.add(left < BODY.length ? "short" : "whole");
                return;
            }
            say(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
            try {
                for (int i = 0; i < 10; i++) {
                    socket.getOutputStream().write(BODY);
                }
            } catch (IOException e) {
                ended.add("cut");
            }
        });
        EdgeNode node = start(config(member("s-0", at, "Ready", 0)));
        Socket up = client(node);
        say(up.getOutputStream(), order("t-1", "Content-Length: " + BODY.length));
        up.getOutputStream().write(BODY, 0, 1_000_000);
        up.close();
        assertEquals("short", ended.poll(30, TimeUnit.SECONDS));
        Socket down = client(node);
        say(down.getOutputStream(), lookup("t-2", "HTTP/1.1"));
        head(down.getInputStream());
        down.close();
        assertEquals("cut", ended.poll(30, TimeUnit.SECONDS));
        while (!node.figures.text().contains("app.in_progress=0")) {
            assertTrue(!Thread.interrupted(), node.figures.text());
        }
    }

    @Test
    void aHeadRequestGetsNoBodyAndAnUnknownExpectationANo() throws Exception {
        EdgeNode node = node(peer(m -> m.answer(Peer.ok("", "x"))));
        Socket client = client(node);
        say(client.getOutputStream(), "HEAD /_health HTTP/1.1\r\n\r\nGET /nowhere HTTP/1.1\r\n\r\n");
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 405"));
        assertTrue(head(client.getInputStream()).startsWith("HTTP/1.1 404"));
        Socket other = client(node);
        say(other.getOutputStream(), order("t-1", "Expect: a-miracle\r\nContent-Length: 4"));
        assertEquals("417", status(Peer.read(other)));
        assertNull(Peer.read(other));
    }

    /** A second request on a connection that stops half-way once kept its place for good. */
    @Test
    void whoStopsHalfWayThroughALaterRequestIsCutOff() throws Exception {
        EdgeNode node = node(peer(m -> m.answer(Peer.ok("", "x"))));
        for (String part : new String[] {"GET /api HT", "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha"}) {
            Socket client = client(node);
            assertEquals("200", ask(client, "t-" + part.length()));
            say(client.getOutputStream(), part);
            assertNull(Peer.read(client), part);
        }
    }
}
