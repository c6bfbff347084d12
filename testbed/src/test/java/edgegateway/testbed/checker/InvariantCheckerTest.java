package edgegateway.testbed.checker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgegateway.testbed.checker.HistoryEvent.AttemptReceived;
import edgegateway.testbed.checker.HistoryEvent.AttemptRejected;
import edgegateway.testbed.checker.HistoryEvent.ClientDisconnected;
import edgegateway.testbed.checker.HistoryEvent.ConnectionBroken;
import edgegateway.testbed.checker.HistoryEvent.DrainNotified;
import edgegateway.testbed.checker.HistoryEvent.NodeCrashed;
import edgegateway.testbed.checker.HistoryEvent.NodeCutOff;
import edgegateway.testbed.checker.HistoryEvent.RequestSent;
import edgegateway.testbed.checker.HistoryEvent.ResponseReceived;
import edgegateway.testbed.checker.HistoryEvent.RestartNotified;
import edgegateway.testbed.checker.HistoryEvent.ServerOverloaded;
import edgegateway.testbed.checker.HistoryEvent.ServerStarted;
import edgegateway.testbed.checker.InvariantSettings.Ceiling;
import edgegateway.testbed.checker.InvariantSettings.RetryRule;
import edgegateway.testbed.checker.Violation.Rule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Made-up histories: each breaks one rule once, beside one that is like it and breaks none. */
class InvariantCheckerTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int SAFE = 0;
  private static final int KEYED = 1;
  private static final int UNSAFE = 2;
  private static final int FREE = 0;
  private static final int CEILED = 1;
  private static final InvariantSettings TERMS =
      new InvariantSettings(
          58 * MS,
          1_050 * MS,
          SECOND,
          List.of(
              new RetryRule(RetryRule.Kind.SAFE, 0),
              new RetryRule(RetryRule.Kind.KEYED, 6 * SECOND),
              new RetryRule(RetryRule.Kind.UNSAFE, 0)),
          List.of(new Ceiling(0, 0, 0), new Ceiling(2, 3, 1)));

  private static RequestSent ask(long at, String id, int plan, int kind) {
    return new RequestSent(at, id, "n1", 7, plan, kind, at + SECOND);
  }

  /**
   * The findings of a history, as rule, request, node; it does not matter in which order it is
   * told.
   */
  private static List<String> judge(HistoryEvent... history) {
    List<HistoryEvent> events = new ArrayList<>(Arrays.asList(history));
    List<String> found =
        InvariantChecker.check(TERMS, events, 100 * SECOND).stream()
            .map(one -> (one.rule() + " " + one.id() + " " + one.node()).trim() + ": " + one.text())
            .toList();
    Collections.shuffle(events, new Random(1));
    assertEquals(found.size(), InvariantChecker.check(TERMS, events, 100 * SECOND).size());
    return found;
  }

  private static final List<String> NONE = List.of();

  @Test
  void eachRequestHasOneFinalAnswerInTime() {
    RequestSent ask = ask(0, "r", FREE, SAFE);
    AttemptReceived sent = new AttemptReceived(MS, "r", "s1");
    assertEquals(NONE, judge(ask, sent, new ResponseReceived(SECOND + 58 * MS, "r", 200)));
    assertEquals(
        List.of("ANSWER r n1: answered 1 ms after its time"),
        judge(ask, sent, new ResponseReceived(SECOND + 59 * MS, "r", 200)));
    assertEquals(List.of("ANSWER r n1: never answered"), judge(ask, sent));
    assertEquals(
        List.of("ANSWER r n1: answered once more, with 503"),
        judge(
            ask,
            sent,
            new ResponseReceived(2 * MS, "r", 200),
            new ResponseReceived(3 * MS, "r", 503)));
    assertEquals(
        List.of("ANSWER r n1: its connection ended without a whole answer"),
        judge(ask, new ConnectionBroken(MS, "r")));
    assertEquals(
        List.of("ANSWER r n1: answered as served, and no attempt reached a server"),
        judge(ask, new ResponseReceived(MS, "r", 200)));
  }

  @Test
  void aClientMayLeaveOrAskAgainBeforeAnAttempt() {
    RequestSent ask = ask(0, "r", FREE, SAFE);
    AttemptReceived sent = new AttemptReceived(MS, "r", "s1");
    assertEquals(
        NONE, judge(ask, new ClientDisconnected(MS, "r"), new ConnectionBroken(2 * MS, "r")));
    assertEquals(
        List.of("ANSWER r n1: never answered"),
        judge(ask, new ClientDisconnected(2 * SECOND, "r")));
    assertEquals(
        NONE,
        judge(
            ask,
            ask(MS, "r", FREE, SAFE),
            new AttemptReceived(2 * MS, "r", "s1"),
            new ResponseReceived(3 * MS, "r", 200)));
    assertEquals(
        List.of("ANSWER r n1: its connection ended after an attempt was made"),
        judge(ask, sent, ask(2 * MS, "r", FREE, SAFE), new ResponseReceived(3 * MS, "r", 429)));
    assertEquals(NONE, judge(ask, new ResponseReceived(MS, "r", 429)));
  }

  @Test
  void aNodeThatWasCutOffOwesNoAnswer() {
    RequestSent ask = ask(0, "r", FREE, SAFE);
    AttemptReceived sent = new AttemptReceived(MS, "r", "s1");
    assertEquals(
        NONE,
        judge(ask, sent, new NodeCutOff(2 * MS, "n1", 4 * MS), new ConnectionBroken(3 * MS, "r")));
    assertEquals(
        NONE,
        judge(
            ask,
            sent,
            new NodeCutOff(2 * MS, "n1", 4 * MS),
            new ResponseReceived(5 * SECOND, "r", 200)));
    assertEquals(
        NONE, judge(new NodeCutOff(-MS, "n1", MS), ask, new ConnectionBroken(3 * MS, "r")));
    assertEquals(
        List.of("ANSWER r n1: its connection ended without a whole answer"),
        judge(new NodeCutOff(-2 * MS, "n1", -MS), ask, new ConnectionBroken(3 * MS, "r")));
    assertEquals(
        List.of("ANSWER r n1: never answered"),
        judge(ask, sent, new NodeCutOff(2 * MS, "n2", 4 * MS)));
  }

  @Test
  void aFurtherAttemptIsMadeOnlyAsItsClassAllows() {
    ResponseReceived answer = new ResponseReceived(900 * MS, "r", 200);
    AttemptReceived first = new AttemptReceived(MS, "r", "s1");
    AttemptReceived next = new AttemptReceived(2 * MS, "r", "s2");
    assertEquals(NONE, judge(ask(0, "r", FREE, SAFE), first, next, answer));
    assertEquals(NONE, judge(ask(0, "r", FREE, KEYED), first, next, answer));
    assertEquals(
        List.of("DUPLICATE r n1: sent to s2 though it may have run"),
        judge(ask(0, "r", FREE, UNSAFE), first, next, answer));
    assertEquals(
        NONE,
        judge(
            ask(0, "r", FREE, UNSAFE),
            first,
            new AttemptRejected(MS + 1, "r", "s1"),
            next,
            answer));
    assertEquals(
        List.of("DUPLICATE r n1: refused though it may have run"),
        judge(ask(0, "r", FREE, UNSAFE), first, new ResponseReceived(MS + 1, "r", 503)));
    RequestSent patient = new RequestSent(0, "r", "n1", 7, FREE, KEYED, 20 * SECOND);
    assertEquals(
        NONE,
        judge(
            patient,
            first,
            new AttemptReceived(6 * SECOND, "r", "s2"),
            new ResponseReceived(7 * SECOND, "r", 200)));
    assertEquals(
        List.of("DUPLICATE r n1: sent to s2 after its key was forgotten"),
        judge(
            patient,
            first,
            new AttemptReceived(6 * SECOND + 2 * MS, "r", "s2"),
            new ResponseReceived(7 * SECOND, "r", 200)));
    assertEquals(
        List.of("DUPLICATE x: sent to s1, and no client asked for it"),
        judge(new AttemptReceived(0, "x", "s1")));
  }

  @Test
  void nothingNewGoesToAServerThatDrains() {
    RequestSent ask = ask(2 * SECOND, "r", FREE, SAFE);
    ResponseReceived answer = new ResponseReceived(2_900 * MS, "r", 200);
    AttemptReceived sent = new AttemptReceived(2_060 * MS, "r", "s1");
    assertEquals(NONE, judge(new DrainNotified(1_010 * MS, "n1", "s1"), ask, sent, answer));
    assertEquals(
        List.of("DRAIN r n1: sent to s1 1060 ms after the node was told that it drains"),
        judge(
            new DrainNotified(SECOND, "n1", "s1"),
            new DrainNotified(2 * SECOND, "n1", "s1"),
            ask,
            sent,
            answer));
    assertEquals(
        NONE,
        judge(
            new DrainNotified(0, "n2", "s1"), new DrainNotified(0, "n1", "s2"), ask, sent, answer));
    assertEquals(
        NONE,
        judge(
            new DrainNotified(0, "n1", "s1"), new ServerStarted(SECOND, "s1"), ask, sent, answer));
    assertEquals(
        NONE,
        judge(
            new DrainNotified(0, "n1", "s1"),
            new RestartNotified(SECOND, "n1", "s1"),
            ask,
            sent,
            answer));
    assertEquals(
        1,
        judge(
                new DrainNotified(0, "n1", "s1"),
                new RestartNotified(SECOND, "n2", "s1"),
                ask,
                sent,
                answer)
            .size());
  }

  @Test
  void aCeilingIsCountedOverAllNodesAndByFirstAttemptsOnly() {
    List<HistoryEvent> history = new ArrayList<>();
    // 3 units, 2 a second, 1 below: four at once are the most.
    for (int i = 0; i < 4; i++) {
      history.add(new RequestSent(0, "r" + i, "n" + i, 7, CEILED, SAFE, SECOND));
      history.add(new AttemptReceived(i, "r" + i, "s1"));
      history.add(new AttemptReceived(10 + i, "r" + i, "s2"));
      history.add(new ResponseReceived(100, "r" + i, 200));
    }
    history.add(new RequestSent(0, "other", "n1", 8, CEILED, SAFE, SECOND));
    history.add(new AttemptReceived(50, "other", "s1"));
    history.add(new ResponseReceived(100, "other", 200));
    assertEquals(NONE, judge(history.toArray(new HistoryEvent[0])));
    history.add(new RequestSent(0, "late", "n1", 7, CEILED, SAFE, SECOND));
    history.add(new ResponseReceived(900 * MS, "late", 200));
    history.add(new AttemptReceived(501 * MS, "late", "s1"));
    assertEquals(NONE, judge(history.toArray(new HistoryEvent[0])));
    history.set(history.size() - 1, new AttemptReceived(400 * MS, "late", "s1"));
    assertEquals(
        List.of(
            "CEILING late n1: customer 0000000000000007 is 1.2 units below its ceiling's store"),
        judge(history.toArray(new HistoryEvent[0])));
  }

  /**
   * Three attempts in the last second push a server over; two by nodes that were told are enough,
   * older ones don't count.
   */
  @Test
  void aColdServerIsPushedOverByThoseWhoWereToldOfItsStart() {
    List<HistoryEvent> history =
        new ArrayList<>(
            List.of(
                new ServerStarted(0, "s1"),
                new RestartNotified(10 * MS, "n1", "s1"),
                new RestartNotified(10 * MS, "n2", "s1")));
    for (int i = 0; i < 4; i++) {
      long at = i == 0 ? 20 * MS : 2 * SECOND + i;
      history.add(new RequestSent(at, "r" + i, "n" + i, 7, FREE, SAFE, at + SECOND));
      history.add(new AttemptReceived(at + MS / 2, "r" + i, "s1"));
      history.add(new ResponseReceived(at + MS, "r" + i, 503));
    }
    history.add(new ServerOverloaded(2_500 * MS, "s1"));
    assertEquals(
        List.of(
            "COLD: s1 was pushed over while cold, by 2 attempts of 3 from nodes that were told of its start"),
        judge(history.toArray(new HistoryEvent[0])));
    history.set(2, new RestartNotified(2_400 * MS, "n2", "s1"));
    assertEquals(NONE, judge(history.toArray(new HistoryEvent[0])));
    history.set(2, new RestartNotified(-MS, "n2", "s1"));
    assertEquals(NONE, judge(history.toArray(new HistoryEvent[0])));
  }

  @Test
  void aProcessThatEndsByItselfIsFound() {
    assertEquals(List.of("CRASH  n1: ended by itself with 3"), judge(new NodeCrashed(0, "n1", 3)));
    assertEquals(
        Rule.CRASH,
        InvariantChecker.check(TERMS, List.of(new NodeCrashed(0, "n1", 3)), 1).get(0).rule());
  }
}
