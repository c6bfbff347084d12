package edgegateway.testbed.fakes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.DiscoveryMember.Phase;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class FakeDiscoveryAgentTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private static DiscoveryMember member(int id, Phase phase) {
    return new DiscoveryMember("s-" + id, "127.0.0.1:1", "a", "m", 1, phase, 1, 0);
  }

  private static DiscoveryMessage change(long revision, int id, Phase phase) {
    return new DiscoveryMessage(revision, false, List.of(member(id, phase)));
  }

  /** What a reader holds, who takes each roll as the protocol says. */
  private static void read(Map<String, DiscoveryMember> list, DiscoveryMessage roll) {
    if (roll.complete()) {
      list.clear();
    }
    for (DiscoveryMember one : roll.members()) {
      list.put(one.id(), one);
    }
    list.values().removeIf(one -> one.phase() == Phase.GONE);
  }

  @Test
  void everyWatchHoldsTheAgentsListHoweverLateItBeganOverManySeeds() {
    for (int seed = 0; seed < 300; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      FakeDiscoveryAgent agent =
          new FakeDiscoveryAgent(
              new DiscoveryMessage(
                  7, true, List.of(member(0, Phase.READY), member(1, Phase.READY))));
      Map<String, DiscoveryMember> early = new TreeMap<>();
      Map<String, DiscoveryMember> late = new TreeMap<>();
      read(early, agent.fullList());
      FakeDiscoveryWatch first = new FakeDiscoveryWatch(agent, 0, 7);
      FakeDiscoveryWatch second = null;
      long at = 0;
      int changes = 10 + chance.nextInt(150);
      for (int i = 1; i <= changes; i++) {
        at += chance.nextLong(300 * MS);
        agent.silenced(chance.nextInt(4) == 0);
        agent.send(
            at,
            change(7 + i, chance.nextInt(6), Phase.values()[chance.nextInt(3)]),
            chance.nextLong(SECOND));
        DiscoveryMessage roll = chance.nextBoolean() ? first.poll(at) : null;
        if (roll != null) {
          read(early, roll);
        }
        if (second == null && chance.nextInt(20) == 0) {
          second = new FakeDiscoveryWatch(agent, at, agent.revision());
          read(late, agent.fullList());
        }
      }
      agent.silenced(false);
      read(early, first.poll(at + 10 * SECOND));
      Map<String, DiscoveryMember> held =
          agent.fullList().members().stream()
              .collect(Collectors.toMap(DiscoveryMember::id, Function.identity()));
      assertEquals(held, early, "seed " + seed);
      if (second != null) {
        read(late, second.poll(at + 10 * SECOND));
        assertEquals(held, late, "seed " + seed);
      }
    }
  }

  @Test
  void aChangeComesLateAndNothingIsSaidWhileDiscoveryIsDown() {
    FakeDiscoveryAgent agent =
        new FakeDiscoveryAgent(new DiscoveryMessage(1, true, List.of(member(0, Phase.READY))));
    FakeDiscoveryWatch watch = new FakeDiscoveryWatch(agent, 0, 1);
    assertEquals(new DiscoveryMessage(1, false, List.of()), watch.poll(0));
    agent.send(0, change(2, 0, Phase.TERMINATING), 500 * MS);
    agent.send(MS, change(3, 1, Phase.READY), 0);
    assertNull(watch.poll(499 * MS));
    assertEquals(
        new DiscoveryMessage(
            3, false, List.of(member(0, Phase.TERMINATING), member(1, Phase.READY))),
        watch.poll(500 * MS));
    assertNull(watch.poll(2_499 * MS));
    assertEquals(
        new DiscoveryMessage(3, false, List.of()),
        watch.poll(2_500 * MS),
        "no line though nothing changed");
    agent.silenced(true);
    agent.send(3 * SECOND, change(4, 0, Phase.GONE), 0);
    assertNull(watch.poll(20 * SECOND));
    agent.silenced(false);
    assertEquals(4, watch.poll(20 * SECOND).revision());
  }

  @Test
  void whoIsTooFarBehindOrFromElsewhereGetsTheWholeList() {
    FakeDiscoveryAgent agent =
        new FakeDiscoveryAgent(new DiscoveryMessage(100, true, List.of(member(0, Phase.READY))));
    assertTrue(agent.changesSince(99).complete());
    assertTrue(agent.changesSince(101).complete());
    assertFalse(agent.changesSince(100).complete());
    for (int i = 1; i <= 70; i++) {
      agent.send(0, change(100 + i, i % 3, Phase.READY), 0);
    }
    agent.advanceTo(0);
    assertTrue(agent.changesSince(105).complete());
    assertFalse(agent.changesSince(106).complete());
    assertEquals(3, agent.changesSince(106).members().size());
  }
}
