package edgegateway.testbed.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What happens on the way, on a clock of the test's own. */
class LinkModelTest {
  private static final long MS = 1_000_000L;
  private static final LinkConditions LOSSY =
      new LinkConditions(false, 0.3, 0.2, 5 * MS, 20 * MS, 0);

  /**
   * Plays a stream to its end under the same conditions; when each part came out, in their order.
   */
  private static List<Long> play(TcpStreamModel<Integer> stream, int parts, LinkConditions as) {
    List<Long> at = new ArrayList<>();
    while (stream.next() != Long.MAX_VALUE) {
      long now = stream.next();
      for (Integer out = stream.poll(now, as); out != null; out = stream.poll(now, as)) {
        assertEquals(at.size(), out, "out of order");
        at.add(now);
      }
    }
    assertEquals(parts, at.size());
    return at;
  }

  @Test
  void aStreamComesWholeAndInOrderWhateverIsLost() {
    for (int seed = 0; seed < 500; seed++) {
      TcpStreamModel<Integer> stream = new TcpStreamModel<>(new SplittableRandom(seed));
      for (int i = 0; i < 50; i++) {
        stream.enter(i * MS, i, 100, LOSSY);
      }
      assertEquals(5_000, stream.held());
      List<Long> first = play(stream, 50, LOSSY);
      assertEquals(0, stream.held());
      TcpStreamModel<Integer> again = new TcpStreamModel<>(new SplittableRandom(seed));
      IntStream.range(0, 50).forEach(i -> again.enter(i * MS, i, 100, LOSSY));
      assertEquals(first, play(again, 50, LOSSY), "seed " + seed + " plays another way");
    }
  }

  @Test
  void whatIsUnderWayAtACutIsSentAgainWithATimeOutThatDoubles() {
    TcpStreamModel<Integer> stream = new TcpStreamModel<>(new SplittableRandom(1));
    LinkConditions slow = new LinkConditions(false, 0, 0, 10 * MS, 0, 0);
    stream.enter(0, 0, 1, slow);
    // Cut from 5 ms to 1,000 ms: due at 10, again at 210, 610 and, heard, at 1,410 with the delay.
    assertNull(stream.poll(10 * MS, LinkConditions.CUT));
    assertEquals(210 * MS, stream.next());
    assertNull(stream.poll(210 * MS, LinkConditions.CUT));
    assertNull(stream.poll(610 * MS, LinkConditions.CUT));
    assertNull(stream.poll(1_000 * MS, slow));
    assertNull(stream.poll(1_410 * MS, slow));
    assertEquals(1_420 * MS, stream.next());
    assertEquals(0, stream.poll(1_420 * MS, slow));
  }

  @Test
  void aRateTakesOnePartAfterTheOther() {
    LinkConditions narrow = new LinkConditions(false, 0, 0, MS, 0, 1_000);
    TcpStreamModel<Integer> stream = new TcpStreamModel<>(new SplittableRandom(1));
    stream.enter(0, 0, 10, narrow);
    stream.enter(0, 1, 5, narrow);
    assertEquals(List.of(11 * MS, 16 * MS), play(stream, 2, narrow));
    DatagramLink<Integer> datagrams = new DatagramLink<>(new SplittableRandom(1));
    datagrams.enter(0, 0, 10, narrow);
    datagrams.enter(0, 1, 5, narrow);
    assertEquals(11 * MS, datagrams.next());
    assertEquals(0, datagrams.poll(11 * MS, narrow));
    assertEquals(16 * MS, datagrams.next());
  }

  @Test
  void datagramsAreLostDoubledAndReordered() {
    DatagramLink<Integer> way = new DatagramLink<>(new SplittableRandom(7));
    int sent = 10_000;
    for (int i = 0; i < sent; i++) {
      way.enter(i * MS, i, 100, LOSSY);
    }
    int came = 0;
    int late = 0;
    int last = -1;
    HashSet<Integer> seen = new HashSet<>();
    for (Integer out = way.poll(Long.MAX_VALUE, LOSSY);
        out != null;
        out = way.poll(Long.MAX_VALUE, LOSSY)) {
      came++;
      late += out < last ? 1 : 0;
      last = out;
      seen.add(out);
    }
    assertEquals(0.7, seen.size() / (double) sent, 0.02);
    assertEquals(0.2, (came - seen.size()) / (double) seen.size(), 0.02);
    assertTrue(late > sent / 10, "not reordered");
    way.enter(sent * MS, 1, 1, LinkConditions.GOOD);
    assertNull(way.poll(sent * MS, LinkConditions.CUT), "arrived over a cut");
    way.enter(sent * MS, 2, 1, LinkConditions.CUT);
    assertEquals(Long.MAX_VALUE, way.next());
  }

  @Test
  void faultsMeanPartiesZonesAndRegionsInOneDirection() {
    NetworkPeer n1 = new NetworkPeer("n1", "a", "north", NetworkPeer.Role.NODE);
    NetworkPeer s1 = new NetworkPeer("s1", "b", "north", NetworkPeer.Role.SERVER);
    NetworkPeer s2 = new NetworkPeer("s2", "c", "south", NetworkPeer.Role.SERVER);
    ActiveFaults faults = new ActiveFaults();
    faults.set(
        "cut",
        PeerSelector.parse("zone:b"),
        PeerSelector.parse("!zone:b"),
        false,
        LinkConditions.CUT);
    faults.set(
        "slow",
        PeerSelector.parse("*"),
        PeerSelector.parse("region:south"),
        false,
        new LinkConditions(false, 0.5, 0, 5, 1, 900));
    faults.set(
        "far",
        PeerSelector.parse("node:n1"),
        PeerSelector.parse("!region:north"),
        false,
        new LinkConditions(false, 0.5, 0, 7, 0, 100));
    assertTrue(faults.between(s1, n1).cut());
    assertFalse(faults.between(n1, s1).cut());
    assertFalse(faults.between(s1, s1).cut());
    assertEquals(new LinkConditions(false, 0.75, 0, 12, 1, 100), faults.between(n1, s2));
    assertEquals(new LinkConditions(false, 0.5, 0, 5, 1, 900), faults.between(s2, s2));
    assertTrue(faults.clear("cut"));
    assertFalse(faults.clear("cut"));
    assertEquals(LinkConditions.GOOD, faults.between(s1, n1));
    faults.set(
        "both",
        PeerSelector.parse("node:n1"),
        PeerSelector.parse("node:s1"),
        true,
        LinkConditions.CUT);
    assertTrue(
        faults.between(n1, s1).cut()
            && faults.between(s1, n1).cut()
            && !faults.between(s1, s2).cut());
    assertTrue(PeerSelector.parse("servers/!zone:c").matches(s1));
    assertFalse(PeerSelector.parse("servers/!zone:c").matches(s2));
    assertFalse(PeerSelector.parse("servers/!zone:c").matches(n1));
    assertTrue(PeerSelector.parse("nodes/*").matches(n1));
  }

  @Test
  void whatCanNotBeMeantIsRefusedByName() {
    for (String text :
        List.of(
            "",
            "!",
            "!*",
            "zone",
            "zone:",
            ":a",
            "rack:a",
            "!!zone:a",
            "nodes/",
            "racks/*",
            "!nodes/*")) {
      assertTrue(
          assertThrows(IllegalArgumentException.class, () -> PeerSelector.parse(text))
              .getMessage()
              .startsWith("'" + text + "' is not"),
          text);
    }
    for (String text :
        List.of("*", "node:n1", "!zone:a", "region:x:y", "nodes/*", "servers/!zone:b")) {
      assertEquals(text, PeerSelector.parse(text).toString());
    }
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> new LinkConditions(false, Double.NaN, 0, 0, 0, 0))
            .getMessage()
            .startsWith("loss"));
    assertTrue(
        assertThrows(
                IllegalArgumentException.class, () -> new LinkConditions(false, 0, 0, 0, -1, 0))
            .getMessage()
            .startsWith("jitter"));
  }
}
