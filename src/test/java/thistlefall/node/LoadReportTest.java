package thistlefall.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Load reports that come with answers. */
class LoadReportTest extends NodeTest {
    private static final List<String> NAMES = List.of("rps", "active");

    @Test
    void aReportIsReadByTheNamesOfTheSettings() {
        assertEquals(List.of(14.5, 7.0), LoadReport.read("TEXT active=7, other=1, rps=14.5", NAMES));
        assertEquals(List.of(), LoadReport.read(null, NAMES));
    }

    @Test
    void aReportThatCannotBeReadIsNone() {
        for (String broken : List.of("", "JSON {}", "TEXT ", "TEXT rps=1", "TEXT rps=1, active=", "TEXT rps=1, active=x",
            "TEXT rps=1, active=-3", "TEXT rps=NaN, active=3", "TEXT rps=1e999, active=3", "TEXT rps=1, active=2, active=3",
            "TEXT rps 1, active=3")) {
            assertEquals(List.of(), LoadReport.read(broken, NAMES), broken);
        }
    }

    /** The answer is served all the same, and the log says so once. */
    @Test
    @Timeout(60)
    void aBrokenReportIsLoggedOnceAndItsAnswerServed() throws Exception {
        Peer server = peer(m -> m.answer(Peer.ok("Endpoint-Load-Metrics: nonsense\r\n", "x")));
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        PrintStream before = System.err;
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        try {
            String config = config(member("s-0", server.address(), "Ready", 0));
            config = config.replace("\"names\": []", "\"names\": [\"active\"]").replace("\"off\"", "\"inline\"");
            Socket client = client(start(config));
            assertEquals("200", ask(client, "t-1"));
            assertEquals("200", ask(client, "t-2"));
        } finally {
            System.setErr(before);
        }
        assertTrue(log.toString(StandardCharsets.UTF_8).split("a load report of", -1).length == 2, log.toString());
    }
}
