package edgegateway.testbed.simulation;

import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServer.Ended;
import edgegateway.testbed.fakes.FakeArchiveServer.Ending;
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
    void ended(Ending how);

    /** The process died first. */
    void died();
  }

  private record Call(String id, Caller caller) {}

  private final VirtualClock timeline;
  private final NetworkPeer party;
  private final FakeArchiveServerSettings terms;
  private final Consumer<HistoryEvent> history;
  private final Set<Call> calls = new LinkedHashSet<>();
  private FakeArchiveServer<Call> core;
  private int life;
  private boolean draining;
  private long startedAt;
  private long wakeAt = Long.MAX_VALUE;

  /** Warm, and started long ago. */
  SimulatedArchiveServer(
      VirtualClock timeline,
      NetworkPeer party,
      FakeArchiveServerSettings terms,
      Consumer<HistoryEvent> history) {
    this.timeline = timeline;
    this.party = party;
    this.terms = terms;
    this.history = history;
    core = new FakeArchiveServer<>(terms, timeline.now(), timeline.now() - terms.ramp());
  }

  @Override
  public NetworkPeer party() {
    return party;
  }

  @Override
  public boolean listens() {
    return core != null;
  }

  @Override
  public int life() {
    return life;
  }

  /** When this life began; 0 for long ago. */
  long startedAt() {
    return startedAt;
  }

  /** When it was pushed over in this life; {@link Long#MAX_VALUE} if it was not. */
  long fellAt() {
    return core == null ? Long.MAX_VALUE : core.fellAt();
  }

  /** The most of what it may be sent while cold that it was sent in this life, as a share. */
  double pressure() {
    return core == null ? 0 : core.pressure();
  }

  void kill() {
    core = null;
    life++;
    wakeAt = Long.MAX_VALUE;
    calls.forEach(call -> call.caller.died());
    calls.clear();
  }

  /** Carries out a fault on its core, if it runs. */
  void on(Consumer<FakeArchiveServer<?>> what) {
    if (core != null) {
      what.accept(core);
      look();
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
    core = new FakeArchiveServer<>(terms, timeline.now(), timeline.now());
    startedAt = timeline.now();
  }

  /** A request has come whole; {@code work} in nanoseconds of a core. */
  void arrive(String id, String key, long work, Caller caller) {
    history.accept(new HistoryEvent.Sent(timeline.now(), id, party.name()));
    Call call = new Call(id, caller);
    calls.add(call);
    core.arrive(timeline.now(), call, key, work);
    look();
  }

  private void look() {
    for (Ended<Call> one = core.poll(timeline.now());
        one != null;
        one = core.poll(timeline.now())) {
      Call call = one.request();
      calls.remove(call);
      if (one.how() == Ending.TURNED_AWAY) {
        history.accept(new HistoryEvent.TurnedAway(timeline.now(), call.id, party.name()));
      }
      call.caller.ended(one.how());
    }
    long next = core.next();
    if (next < wakeAt) {
      wakeAt = next;
      int of = life;
      timeline.at(
          next,
          () -> {
            if (of == life) {
              wakeAt = Long.MAX_VALUE;
              look();
            }
          });
    }
  }
}
