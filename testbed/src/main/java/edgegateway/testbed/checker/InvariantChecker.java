package edgegateway.testbed.checker;

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
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * The rule on cold servers is broken if this part of the work came from nodes that were told
   * (wire page, rule 4).
   */
  private static final double INFORMED_FRACTION = 2 / 3.0;

  private static final int STATUS_OK = 200;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** A request as it stands. */
  private static final class Request {
    final RequestSent sent;
    int responses;
    int attempts;
    int mayHaveRun;
    long firstAttemptNanos;
    boolean finished;
    boolean excused;

    Request(RequestSent asked) {
      this.sent = asked;
    }
  }

  /** An attempt that reached a server, and whether its node knew then that the server was cold. */
  private record ReceivedAttempt(long at, boolean nodeInformed) {}

  private static final class TokenBucket {
    double tokens;
    long updatedAtNanos;

    TokenBucket(double units, long at) {
      this.tokens = units;
      this.updatedAtNanos = at;
    }
  }

  private final InvariantSettings settings;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<String, Map<String, Long>> drainNotifiedNanos = new HashMap<>();

  /** By server: what reached it lately, and which nodes were told of its start. */
  private final Map<String, ArrayDeque<ReceivedAttempt>> recentAttempts = new HashMap<>();

  private final Map<String, Set<String>> restartNotified = new HashMap<>();
  private final Map<Long, TokenBucket> ceilings = new HashMap<>();
  private final Map<String, Long> cutOffUntilNanos = new HashMap<>();

  private InvariantChecker(InvariantSettings settings) {
    this.settings = settings;
  }

  /**
   * All findings of a history, in the order of their times; events may come in any order, {@code
   * end} is after the last.
   */
  public static List<Violation> check(
      InvariantSettings settings, List<HistoryEvent> history, long endNanos) {
    InvariantChecker checker = new InvariantChecker(settings);
    history.stream().sorted(Comparator.comparingLong(HistoryEvent::at)).forEach(checker::process);
    for (Request request : checker.requests.values()) {
      if (!request.finished
          && request.sent.deadline() + settings.deadlineGraceNanos() <= endNanos) {
        checker.report(
            Rule.ANSWER,
            request.sent.deadline() + settings.deadlineGraceNanos(),
            request.sent,
            "never answered");
      }
    }
    checker.violations.sort(Comparator.comparingLong(Violation::at).thenComparing(Violation::id));
    return List.copyOf(checker.violations);
  }

  private void report(Rule rule, long at, RequestSent request, String text) {
    violations.add(new Violation(rule, at, request.id(), request.node(), text));
  }

  private void process(HistoryEvent event) {
    if (event instanceof RequestSent asked) {
      requestSent(asked);
    } else if (event instanceof ResponseReceived answered) {
      checkResponse(answered);
    } else if (event instanceof ConnectionBroken broken) {
      checkConnectionBroken(broken);
    } else if (event instanceof ClientDisconnected left) {
      checkClientDisconnect(left);
    } else if (event instanceof AttemptReceived sent) {
      checkAttempt(sent);
    } else if (event instanceof AttemptRejected rejected) {
      Request request = requests.get(rejected.id());
      if (request != null) {
        request.mayHaveRun--;
      }
    } else if (event instanceof DrainNotified notified) {
      drainNotifiedNanos
          .computeIfAbsent(notified.server(), any -> new HashMap<>())
          .putIfAbsent(notified.node(), notified.at());
    } else if (event instanceof ServerStarted started) {
      drainNotifiedNanos.remove(started.server());
      restartNotified.remove(started.server());
      recentAttempts.remove(started.server());
    } else if (event instanceof RestartNotified notified) {
      restartNotified
          .computeIfAbsent(notified.server(), any -> new HashSet<>())
          .add(notified.node());
      drainNotifiedNanos
          .computeIfAbsent(notified.server(), any -> new HashMap<>())
          .remove(notified.node());
    } else if (event instanceof ServerOverloaded overload) {
      checkOverload(overload);
    } else if (event instanceof NodeCutOff lost) {
      cutOffUntilNanos.put(lost.node(), lost.until());
      requests.values().stream()
          .filter(request -> request.sent.node().equals(lost.node()))
          .forEach(request -> request.excused = request.finished = true);
    } else if (event instanceof NodeCrashed crashed) {
      violations.add(
          new Violation(
              Rule.CRASH,
              crashed.at(),
              "",
              crashed.node(),
              "ended by itself with " + crashed.status()));
    }
  }

  /** Whoever was not told of its start could not know; attempts stand for their work. */
  private void checkOverload(ServerOverloaded overload) {
    List<ReceivedAttempt> recent =
        recentAttempts.getOrDefault(overload.server(), new ArrayDeque<>()).stream()
            .filter(push -> push.at > overload.at() - settings.overloadWindowNanos())
            .toList();
    long informed = recent.stream().filter(ReceivedAttempt::nodeInformed).count();
    if (informed >= INFORMED_FRACTION * recent.size()) {
      violations.add(
          new Violation(
              Rule.COLD,
              overload.at(),
              "",
              "",
              overload.server()
                  + " was pushed over while cold, by "
                  + informed
                  + " attempts of "
                  + recent.size()
                  + " from nodes that were told of its start"));
    }
  }

  private void checkResponse(ResponseReceived answered) {
    Request request = requests.get(answered.id());
    if (request == null) {
      return;
    }
    RequestSent asked = request.sent;
    if (++request.responses > 1) {
      report(Rule.ANSWER, answered.at(), asked, "answered once more, with " + answered.status());
      return;
    }
    request.finished = true;
    long lateNanos = answered.at() - asked.deadline() - settings.deadlineGraceNanos();
    if (lateNanos > 0 && !request.excused) {
      report(
          Rule.ANSWER,
          answered.at(),
          asked,
          "answered " + lateNanos / 1_000_000 + " ms after its time");
    }
    if (answered.status() == STATUS_OK && request.attempts == 0) {
      report(
          Rule.ANSWER, answered.at(), asked, "answered as served, and no attempt reached a server");
    }
    boolean refused =
        answered.status() == STATUS_TOO_MANY_REQUESTS || answered.status() == STATUS_UNAVAILABLE;
    if (refused && request.mayHaveRun > 0 && retryKind(asked) == RetryRule.Kind.UNSAFE) {
      report(Rule.DUPLICATE, answered.at(), asked, "refused though it may have run");
    }
  }

  /**
   * A client asks again by the same id only if its connection ended: then the first must not have
   * been read.
   */
  private void requestSent(RequestSent asked) {
    Request request = new Request(asked);
    request.excused = asked.at() <= cutOffUntilNanos.getOrDefault(asked.node(), Long.MIN_VALUE);
    request.finished = request.excused;
    Request previous = requests.put(asked.id(), request);
    if (previous != null && !previous.finished && previous.attempts > 0) {
      report(
          Rule.ANSWER, asked.at(), previous.sent, "its connection ended after an attempt was made");
    }
  }

  private void checkConnectionBroken(ConnectionBroken broken) {
    Request request = requests.get(broken.id());
    if (request != null && !request.finished) {
      request.finished = true;
      report(Rule.ANSWER, broken.at(), request.sent, "its connection ended without a whole answer");
    }
  }

  private void checkClientDisconnect(ClientDisconnected left) {
    Request request = requests.get(left.id());
    if (request != null && !request.finished) {
      request.finished = true;
      if (left.at() > request.sent.deadline() + settings.deadlineGraceNanos()) {
        report(Rule.ANSWER, left.at(), request.sent, "never answered");
      }
    }
  }

  private RetryRule.Kind retryKind(RequestSent asked) {
    return settings.classes().get(asked.requestClass()).kind();
  }

  private void checkAttempt(AttemptReceived sent) {
    Request request = requests.get(sent.id());
    if (request == null) {
      violations.add(
          new Violation(
              Rule.DUPLICATE,
              sent.at(),
              sent.id(),
              "",
              "sent to " + sent.server() + ", and no client asked for it"));
      return;
    }
    RequestSent asked = request.sent;
    ArrayDeque<ReceivedAttempt> recent =
        recentAttempts.computeIfAbsent(sent.server(), any -> new ArrayDeque<>());
    recent.add(
        new ReceivedAttempt(
            sent.at(),
            restartNotified.getOrDefault(sent.server(), Set.of()).contains(asked.node())));
    while (recent.peek().at <= sent.at() - settings.overloadWindowNanos()) {
      recent.poll();
    }
    if (request.mayHaveRun > 0) {
      RetryRule repeat = settings.classes().get(asked.requestClass());
      if (repeat.kind() == RetryRule.Kind.UNSAFE) {
        report(
            Rule.DUPLICATE,
            sent.at(),
            asked,
            "sent to " + sent.server() + " though it may have run");
      } else if (repeat.kind() == RetryRule.Kind.KEYED
          && sent.at() - request.firstAttemptNanos > repeat.keyLifetimeNanos()) {
        report(
            Rule.DUPLICATE,
            sent.at(),
            asked,
            "sent to " + sent.server() + " after its key was forgotten");
      }
    }
    Long notifiedNanos = drainNotifiedNanos.getOrDefault(sent.server(), Map.of()).get(asked.node());
    if (notifiedNanos != null && sent.at() - notifiedNanos > settings.drainGraceNanos()) {
      report(
          Rule.DRAIN,
          sent.at(),
          asked,
          "sent to "
              + sent.server()
              + " "
              + (sent.at() - notifiedNanos) / 1_000_000
              + " ms after the node was told that it drains");
    }
    if (request.attempts++ == 0) {
      request.firstAttemptNanos = sent.at();
      drawFromCeiling(sent.at(), asked);
    }
    request.mayHaveRun++;
  }

  /** The first attempt of each request draws its unit from the customer's ceiling. */
  private void drawFromCeiling(long at, RequestSent asked) {
    Ceiling ceiling = settings.plans().get(asked.plan());
    if (ceiling.unitsPerSecond() == 0) {
      return;
    }
    TokenBucket bucket =
        ceilings.computeIfAbsent(
            asked.customer(), any -> new TokenBucket(ceiling.burstUnits(), at));
    bucket.tokens =
        Math.min(
                ceiling.burstUnits(),
                bucket.tokens
                    + (at - bucket.updatedAtNanos) * ceiling.unitsPerSecond() / NANOS_PER_SECOND)
            - 1;
    bucket.updatedAtNanos = at;
    if (bucket.tokens < -ceiling.slackUnits()) {
      report(
          Rule.CEILING,
          at,
          asked,
          String.format(
              Locale.ROOT,
              "customer %016x is %.1f units below its ceiling's store",
              asked.customer(),
              -bucket.tokens));
    }
  }
}
