package edgegateway.testbed.simulation;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServer.Completion;
import edgegateway.testbed.fakes.FakeArchiveServer.Finished;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.network.NetworkPeer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** An archive server's machine: its process, which may die and start again, cold. */
final class SimulatedArchiveServer implements SimulatedPeer {
  /** Whoever asked for something here. */
  interface Caller {
    /** It ended so; called when it ends, at the server. */
    void ended(Completion how);

    /** The process died first. */
    void processDied();
  }

  private record Call(String id, Caller caller) {}

  private final VirtualClock clock;
  private final NetworkPeer peer;
  private final FakeArchiveServerSettings settings;
  private final Consumer<HistoryEvent> history;
  private final Set<Call> calls = new LinkedHashSet<>();
  private FakeArchiveServer<Call> server;
  private int incarnation;
  private boolean draining;
  private long startedAtNanos;
  private long nextPollNanos = Long.MAX_VALUE;

  /** Warm, and started long ago. */
  SimulatedArchiveServer(
      VirtualClock clock,
      NetworkPeer peer,
      FakeArchiveServerSettings settings,
      Consumer<HistoryEvent> history) {
    this.clock = clock;
    this.peer = peer;
    this.settings = settings;
    this.history = history;
    server =
        new FakeArchiveServer<>(settings, clock.now(), clock.now() - settings.slowStartNanos());
  }

  @Override
  public NetworkPeer peer() {
    return peer;
  }

  @Override
  public boolean isListening() {
    return server != null;
  }

  @Override
  public int incarnation() {
    return incarnation;
  }

  /** When this life began; 0 for long ago. */
  long startedAtNanos() {
    return startedAtNanos;
  }

  /** When it was pushed over in this life; {@link Long#MAX_VALUE} if it was not. */
  long overloadedAtNanos() {
    return server == null ? Long.MAX_VALUE : server.overloadedAtNanos();
  }

  /** The most of what it may be sent while cold that it was sent in this life, as a share. */
  double warmUpPressure() {
    return server == null ? 0 : server.warmUpPressure();
  }

  void kill() {
    server = null;
    incarnation++;
    nextPollNanos = Long.MAX_VALUE;
    calls.forEach(call -> call.caller.processDied());
    calls.clear();
  }

  /** Carries out a fault on its core, if it runs. */
  void apply(Consumer<FakeArchiveServer<?>> change) {
    if (server != null) {
      change.accept(server);
      poll();
    }
  }

  /** Whether discovery tells that it drains. */
  boolean draining() {
    return draining;
  }

  void drain() {
    draining = true;
  }

  void start() {
    draining = false;
    server = new FakeArchiveServer<>(settings, clock.now(), clock.now());
    startedAtNanos = clock.now();
  }

  /** A request has come whole; {@code work} in nanoseconds of a core. */
  void receive(String id, String key, long workNanos, Caller caller) {
    history.accept(new HistoryEvent.AttemptReceived(clock.now(), id, peer.name()));
    Call call = new Call(id, caller);
    calls.add(call);
    server.receive(clock.now(), call, key, workNanos);
    poll();
  }

  private void poll() {
    for (Finished<Call> ended = server.poll(clock.now());
        ended != null;
        ended = server.poll(clock.now())) {
      Call call = ended.request();
      calls.remove(call);
      if (ended.completion() == Completion.REJECTED) {
        history.accept(new HistoryEvent.AttemptRejected(clock.now(), call.id, peer.name()));
      }
      call.caller.ended(ended.completion());
    }
    long nextNanos = server.nextEventNanos();
    if (nextNanos < nextPollNanos) {
      nextPollNanos = nextNanos;
      int polledIn = incarnation;
      clock.runAt(
          nextNanos,
          () -> {
            if (polledIn == incarnation) {
              nextPollNanos = Long.MAX_VALUE;
              poll();
            }
          });
    }
  }
}
