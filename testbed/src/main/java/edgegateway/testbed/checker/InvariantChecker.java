package edgegateway.testbed.checker;

import edgegateway.testbed.checker.HistoryEvent.Answered;
import edgegateway.testbed.checker.HistoryEvent.Asked;
import edgegateway.testbed.checker.HistoryEvent.Broken;
import edgegateway.testbed.checker.HistoryEvent.Crashed;
import edgegateway.testbed.checker.HistoryEvent.Fell;
import edgegateway.testbed.checker.HistoryEvent.Learned;
import edgegateway.testbed.checker.HistoryEvent.Left;
import edgegateway.testbed.checker.HistoryEvent.Lost;
import edgegateway.testbed.checker.HistoryEvent.Sent;
import edgegateway.testbed.checker.HistoryEvent.Started;
import edgegateway.testbed.checker.HistoryEvent.Told;
import edgegateway.testbed.checker.HistoryEvent.TurnedAway;
import edgegateway.testbed.checker.InvariantSettings.Ceiling;
import edgegateway.testbed.checker.InvariantSettings.Repeat;
import edgegateway.testbed.checker.Violation.Rule;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Finds the broken rules in a history. It knows nothing of the program: only who asked, what
 * arrived, what was answered.
 */
public final class InvariantChecker {
  private static final double SECOND = 1e9;

  /**
   * The rule on cold servers is broken if this part of the work came from nodes that were told
   * (wire page, rule 4).
   */
  private static final double BLAMED = 2 / 3.0;

  private static final int OK = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  /** A request as it stands. */
  private static final class Request {
    final Asked asked;
    int answers;
    int attempts;
    int mayHaveRun;
    long firstSent;
    boolean over;
    boolean excused;

    Request(Asked asked) {
      this.asked = asked;
    }
  }

  /** An attempt that reached a server, and whether its node knew then that the server was cold. */
  private record Push(long at, boolean knew) {}

  private static final class TokenBucket {
    double units;
    long at;

    TokenBucket(double units, long at) {
      this.units = units;
      this.at = at;
    }
  }

  private final InvariantSettings terms;
  private final List<Violation> findings = new ArrayList<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, Map<String, Long>> told = new HashMap<>();

  /** By server: what reached it lately, and which nodes were told of its start. */
  private final Map<String, ArrayDeque<Push>> pushes = new HashMap<>();

  private final Map<String, Set<String>> learned = new HashMap<>();
  private final Map<Long, TokenBucket> stores = new HashMap<>();
  private final Map<String, Long> cutOff = new HashMap<>();

  private InvariantChecker(InvariantSettings terms) {
    this.terms = terms;
  }

  /**
   * All findings of a history, in the order of their times; events may come in any order, {@code
   * end} is after the last.
   */
  public static List<Violation> judge(
      InvariantSettings terms, List<HistoryEvent> history, long end) {
    InvariantChecker judge = new InvariantChecker(terms);
    history.stream().sorted(Comparator.comparingLong(HistoryEvent::at)).forEach(judge::take);
    for (Request request : judge.requests.values()) {
      if (!request.over && request.asked.deadline() + terms.answerSlack() <= end) {
        judge.find(
            Rule.ANSWER,
            request.asked.deadline() + terms.answerSlack(),
            request.asked,
            "never answered");
      }
    }
    judge.findings.sort(Comparator.comparingLong(Violation::at).thenComparing(Violation::id));
    return List.copyOf(judge.findings);
  }

  private void find(Rule rule, long at, Asked of, String text) {
    findings.add(new Violation(rule, at, of.id(), of.node(), text));
  }

  private void take(HistoryEvent event) {
    if (event instanceof Asked asked) {
      asked(asked);
    } else if (event instanceof Answered answered) {
      answered(answered);
    } else if (event instanceof Broken broken) {
      broken(broken);
    } else if (event instanceof Left left) {
      left(left);
    } else if (event instanceof Sent sent) {
      sent(sent);
    } else if (event instanceof TurnedAway away) {
      Request request = requests.get(away.id());
      if (request != null) {
        request.mayHaveRun--;
      }
    } else if (event instanceof Told one) {
      told.computeIfAbsent(one.server(), any -> new HashMap<>()).putIfAbsent(one.node(), one.at());
    } else if (event instanceof Started started) {
      told.remove(started.server());
      learned.remove(started.server());
      pushes.remove(started.server());
    } else if (event instanceof Learned one) {
      learned.computeIfAbsent(one.server(), any -> new HashSet<>()).add(one.node());
      told.computeIfAbsent(one.server(), any -> new HashMap<>()).remove(one.node());
    } else if (event instanceof Fell fell) {
      fell(fell);
    } else if (event instanceof Lost lost) {
      cutOff.put(lost.node(), lost.until());
      requests.values().stream()
          .filter(request -> request.asked.node().equals(lost.node()))
          .forEach(request -> request.excused = request.over = true);
    } else if (event instanceof Crashed crashed) {
      findings.add(
          new Violation(
              Rule.CRASH,
              crashed.at(),
              "",
              crashed.node(),
              "ended by itself with " + crashed.status()));
    }
  }

  /** Whoever was not told of its start could not know; attempts stand for their work. */
  private void fell(Fell fell) {
    List<Push> last =
        pushes.getOrDefault(fell.server(), new ArrayDeque<>()).stream()
            .filter(push -> push.at > fell.at() - terms.fallSpan())
            .toList();
    long knew = last.stream().filter(Push::knew).count();
    if (knew >= BLAMED * last.size()) {
      findings.add(
          new Violation(
              Rule.COLD,
              fell.at(),
              "",
              "",
              fell.server()
                  + " was pushed over while cold, by "
                  + knew
                  + " attempts of "
                  + last.size()
                  + " from nodes that were told of its start"));
    }
  }

  private void answered(Answered answered) {
    Request request = requests.get(answered.id());
    if (request == null) {
      return;
    }
    Asked asked = request.asked;
    if (++request.answers > 1) {
      find(Rule.ANSWER, answered.at(), asked, "answered once more, with " + answered.status());
      return;
    }
    request.over = true;
    long late = answered.at() - asked.deadline() - terms.answerSlack();
    if (late > 0 && !request.excused) {
      find(
          Rule.ANSWER, answered.at(), asked, "answered " + late / 1_000_000 + " ms after its time");
    }
    if (answered.status() == OK && request.attempts == 0) {
      find(
          Rule.ANSWER, answered.at(), asked, "answered as served, and no attempt reached a server");
    }
    boolean refused = answered.status() == TOO_MANY || answered.status() == UNAVAILABLE;
    if (refused && request.mayHaveRun > 0 && kind(asked) == Repeat.Kind.UNSAFE) {
      find(Rule.DUPLICATE, answered.at(), asked, "refused though it may have run");
    }
  }

  /**
   * A client asks again by the same id only if its connection ended: then the first must not have
   * been read.
   */
  private void asked(Asked asked) {
    Request request = new Request(asked);
    request.excused = asked.at() <= cutOff.getOrDefault(asked.node(), Long.MIN_VALUE);
    request.over = request.excused;
    Request before = requests.put(asked.id(), request);
    if (before != null && !before.over && before.attempts > 0) {
      find(Rule.ANSWER, asked.at(), before.asked, "its connection ended after an attempt was made");
    }
  }

  private void broken(Broken broken) {
    Request request = requests.get(broken.id());
    if (request != null && !request.over) {
      request.over = true;
      find(Rule.ANSWER, broken.at(), request.asked, "its connection ended without a whole answer");
    }
  }

  private void left(Left left) {
    Request request = requests.get(left.id());
    if (request != null && !request.over) {
      request.over = true;
      if (left.at() > request.asked.deadline() + terms.answerSlack()) {
        find(Rule.ANSWER, left.at(), request.asked, "never answered");
      }
    }
  }

  private Repeat.Kind kind(Asked asked) {
    return terms.classes().get(asked.requestClass()).kind();
  }

  private void sent(Sent sent) {
    Request request = requests.get(sent.id());
    if (request == null) {
      findings.add(
          new Violation(
              Rule.DUPLICATE,
              sent.at(),
              sent.id(),
              "",
              "sent to " + sent.server() + ", and no client asked for it"));
      return;
    }
    Asked asked = request.asked;
    ArrayDeque<Push> lately = pushes.computeIfAbsent(sent.server(), any -> new ArrayDeque<>());
    lately.add(
        new Push(sent.at(), learned.getOrDefault(sent.server(), Set.of()).contains(asked.node())));
    while (lately.peek().at <= sent.at() - terms.fallSpan()) {
      lately.poll();
    }
    if (request.mayHaveRun > 0) {
      Repeat repeat = terms.classes().get(asked.requestClass());
      if (repeat.kind() == Repeat.Kind.UNSAFE) {
        find(
            Rule.DUPLICATE,
            sent.at(),
            asked,
            "sent to " + sent.server() + " though it may have run");
      } else if (repeat.kind() == Repeat.Kind.KEYED
          && sent.at() - request.firstSent > repeat.keyLife()) {
        find(
            Rule.DUPLICATE,
            sent.at(),
            asked,
            "sent to " + sent.server() + " after its key was forgotten");
      }
    }
    Long since = told.getOrDefault(sent.server(), Map.of()).get(asked.node());
    if (since != null && sent.at() - since > terms.stopWithin()) {
      find(
          Rule.DRAIN,
          sent.at(),
          asked,
          "sent to "
              + sent.server()
              + " "
              + (sent.at() - since) / 1_000_000
              + " ms after the node was told that it drains");
    }
    if (request.attempts++ == 0) {
      request.firstSent = sent.at();
      draw(sent.at(), asked);
    }
    request.mayHaveRun++;
  }

  /** The first attempt of each request draws its unit from the customer's ceiling. */
  private void draw(long at, Asked asked) {
    Ceiling ceiling = terms.plans().get(asked.plan());
    if (ceiling.rate() == 0) {
      return;
    }
    TokenBucket store =
        stores.computeIfAbsent(asked.customer(), any -> new TokenBucket(ceiling.burst(), at));
    store.units =
        Math.min(ceiling.burst(), store.units + (at - store.at) * ceiling.rate() / SECOND) - 1;
    store.at = at;
    if (store.units < -ceiling.slack()) {
      find(
          Rule.CEILING,
          at,
          asked,
          String.format(
              Locale.ROOT,
              "customer %016x is %.1f units below its ceiling's store",
              asked.customer(),
              -store.units));
    }
  }
}
