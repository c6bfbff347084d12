package edgegateway.testbed.stand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.stand.Member.Phase;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class AgentTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;

  private static Member member(int id, Phase phase) {
    return new Member("s-" + id, "127.0.0.1:1", "a", "m", 1, phase, 1, 0);
  }

  private static Roll change(long revision, int id, Phase phase) {
    return new Roll(revision, false, List.of(member(id, phase)));
  }

  /** What a reader holds, who takes each roll as the protocol says. */
  private static void read(Map<String, Member> list, Roll roll) {
    if (roll.complete()) {
      list.clear();
    }
    for (Member one : roll.members()) {
      list.put(one.id(), one);
    }
    list.values().removeIf(one -> one.phase() == Phase.GONE);
  }

  @Test
  void everyWatchHoldsTheAgentsListHoweverLateItBeganOverManySeeds() {
    for (int seed = 0; seed < 300; seed++) {
      SplittableRandom chance = new SplittableRandom(seed);
      Agent agent =
          new Agent(new Roll(7, true, List.of(member(0, Phase.READY), member(1, Phase.READY))));
      Map<String, Member> early = new TreeMap<>();
      Map<String, Member> late = new TreeMap<>();
      read(early, agent.whole());
      Watch first = new Watch(agent, 0, 7);
      Watch second = null;
      long at = 0;
      int changes = 10 + chance.nextInt(150);
      for (int i = 1; i <= changes; i++) {
        at += chance.nextLong(300 * MS);
        agent.silent(chance.nextInt(4) == 0);
        agent.send(
            at,
            change(7 + i, chance.nextInt(6), Phase.values()[chance.nextInt(3)]),
            chance.nextLong(SECOND));
        Roll roll = chance.nextBoolean() ? first.poll(at) : null;
        if (roll != null) {
          read(early, roll);
        }
        if (second == null && chance.nextInt(20) == 0) {
          second = new Watch(agent, at, agent.revision());
          read(late, agent.whole());
        }
      }
      agent.silent(false);
      read(early, first.poll(at + 10 * SECOND));
      Map<String, Member> held =
          agent.whole().members().stream()
              .collect(Collectors.toMap(Member::id, Function.identity()));
      assertEquals(held, early, "seed " + seed);
      if (second != null) {
        read(late, second.poll(at + 10 * SECOND));
        assertEquals(held, late, "seed " + seed);
      }
    }
  }

  @Test
  void aChangeComesLateAndNothingIsSaidWhileDiscoveryIsDown() {
    Agent agent = new Agent(new Roll(1, true, List.of(member(0, Phase.READY))));
    Watch watch = new Watch(agent, 0, 1);
    assertEquals(new Roll(1, false, List.of()), watch.poll(0));
    agent.send(0, change(2, 0, Phase.TERMINATING), 500 * MS);
    agent.send(MS, change(3, 1, Phase.READY), 0);
    assertNull(watch.poll(499 * MS));
    assertEquals(
        new Roll(3, false, List.of(member(0, Phase.TERMINATING), member(1, Phase.READY))),
        watch.poll(500 * MS));
    assertNull(watch.poll(2_499 * MS));
    assertEquals(
        new Roll(3, false, List.of()), watch.poll(2_500 * MS), "no line though nothing changed");
    agent.silent(true);
    agent.send(3 * SECOND, change(4, 0, Phase.GONE), 0);
    assertNull(watch.poll(20 * SECOND));
    agent.silent(false);
    assertEquals(4, watch.poll(20 * SECOND).revision());
  }

  @Test
  void whoIsTooFarBehindOrFromElsewhereGetsTheWholeList() {
    Agent agent = new Agent(new Roll(100, true, List.of(member(0, Phase.READY))));
    assertTrue(agent.since(99).complete());
    assertTrue(agent.since(101).complete());
    assertFalse(agent.since(100).complete());
    for (int i = 1; i <= 70; i++) {
      agent.send(0, change(100 + i, i % 3, Phase.READY), 0);
    }
    agent.advance(0);
    assertTrue(agent.since(105).complete());
    assertFalse(agent.since(106).complete());
    assertEquals(3, agent.since(106).members().size());
  }
}
