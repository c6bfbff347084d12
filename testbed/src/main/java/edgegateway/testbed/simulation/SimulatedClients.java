package edgegateway.testbed.simulation;

import edgegateway.policy.api.Request;
import edgegateway.testbed.checker.HistoryEvent;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.workload.ClientBehavior;
import edgegateway.testbed.workload.ClientBehavior.ClientRequest;
import edgegateway.testbed.workload.RequestArrival;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/** The front and the clients behind it, as {@code Clients} plays them on sockets. */
final class SimulatedClients {
  private static final long CONNECT = 1_000_000_000L;
  private static final long HEALTH = 100_000_000L;
  private static final int OK = 200;

  private final VirtualClock timeline;
  private final SimulatedNetwork network;
  private final NetworkPeer party;
  private final List<SimulatedNode> nodes;
  private final ClientBehavior asking;
  private final Consumer<HistoryEvent> history;
  private final List<SimulatedConnectionPool> pools = new ArrayList<>();

  SimulatedClients(
      VirtualClock timeline,
      SimulatedNetwork network,
      NetworkPeer party,
      List<SimulatedNode> nodes,
      ClientBehavior asking,
      Consumer<HistoryEvent> history) {
    this.timeline = timeline;
    this.network = network;
    this.party = party;
    this.nodes = nodes;
    this.asking = asking;
    this.history = history;
    SimulationMeter off = new SimulationMeter();
    nodes.forEach(
        node ->
            pools.add(
                new SimulatedConnectionPool(
                    timeline,
                    network,
                    party,
                    node,
                    CONNECT,
                    SimulatedConnectionPool.NO_IDLE_TIMEOUT,
                    off)));
  }

  /** Sends all at their times from now on. */
  void play(List<RequestArrival> arrivals) {
    long begun = timeline.now();
    next(arrivals.iterator(), begun);
    timeline.runAfter(HEALTH, this::askHealth);
  }

  /** Only the next one waits on the timeline: all of a large fleet's would fill it. */
  private void next(Iterator<RequestArrival> arrivals, long begun) {
    if (arrivals.hasNext()) {
      RequestArrival one = arrivals.next();
      timeline.runAt(
          begun + one.at(),
          () -> {
            next(arrivals, begun);
            new ClientAttempt(asking.first(one, timeline.now())).start();
          });
    }
  }

  private void askHealth() {
    for (int i = 0; i < nodes.size(); i++) {
      if (asking.front().doubted(i)) {
        int node = i;
        SimulatedNode asked = nodes.get(i);
        network.send(
            party,
            asked.peer(),
            () -> {
              if (asked.ready()) {
                network.send(asked.peer(), party, () -> asking.front().healthy(node));
              }
            });
      }
    }
    timeline.runAfter(HEALTH, this::askHealth);
  }

  /** One request on its way. */
  private final class ClientAttempt
      implements SimulatedConnectionPool.ConnectionUser, SimulatedNode.Client {
    private final ClientRequest ask;
    private final SimulatedNode host;
    private final SimulatedConnectionPool pool;
    private int life;
    private boolean reused;
    private boolean over;

    ClientAttempt(ClientRequest ask) {
      this.ask = ask;
      host = nodes.get(ask.node());
      pool = pools.get(ask.node());
    }

    void start() {
      pool.acquire(this);
    }

    @Override
    public void connectFailed() {
      asking.front().refused(timeline.now(), ask.node());
      if (ask.asked()) {
        history.accept(new HistoryEvent.ClientDisconnected(timeline.now(), ask.id()));
      }
      again(0);
      over = true;
    }

    @Override
    public void connected(int to, boolean again) {
      if (over) {
        pool.release(to);
        return;
      }
      life = to;
      reused = again;
      long now = timeline.now();
      if (ask.write(now)) {
        timeline.runAt(ask.deadline() + ClientBehavior.LINGER, this::leave);
      }
      history.accept(ask.event(now));
      RequestArrival of = ask.of();
      long span = Math.max(1, ask.deadline() - now);
      network.send(
          party,
          host.peer(),
          () -> {
            if (host.incarnation() == life) {
              host.receive(
                  new Request(
                      ask.id(),
                      of.requestClass(),
                      of.plan(),
                      of.customer(),
                      0,
                      1,
                      ask.spread(),
                      of.first(),
                      false),
                  span,
                  ask.requestClass().keyed(),
                  this);
            } else {
              processDied();
            }
          });
    }

    @Override
    public void respond(int status, long advice) {
      network.send(
          host.peer(),
          party,
          () -> {
            if (!over) {
              over = true;
              pool.release(life);
              history.accept(new HistoryEvent.ResponseReceived(timeline.now(), ask.id(), status));
              if (status != OK) {
                again(advice);
              }
            }
          });
    }

    @Override
    public void processDied() {
      network.send(
          host.peer(),
          party,
          () -> {
            if (!over && reused) {
              pool.connect(this);
            } else if (!over) {
              over = true;
              history.accept(new HistoryEvent.ConnectionBroken(timeline.now(), ask.id()));
              again(0);
            }
          });
    }

    /** Asks again after a pause, if it may. */
    private void again(long advice) {
      long pause = ask.pause(timeline.now(), advice);
      if (pause >= 0) {
        timeline.runAfter(pause, () -> new ClientAttempt(ask.again(timeline.now())).start());
      }
    }

    private void leave() {
      if (!over) {
        over = true;
        history.accept(new HistoryEvent.ClientDisconnected(timeline.now(), ask.id()));
        network.send(
            party,
            host.peer(),
            () -> {
              if (host.incarnation() == life) {
                host.clientLeft(ask.id());
              }
            });
      }
    }
  }
}
