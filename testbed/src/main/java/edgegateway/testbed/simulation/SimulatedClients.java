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

  private final VirtualClock clock;
  private final SimulatedNetwork network;
  private final NetworkPeer peer;
  private final List<SimulatedNode> nodes;
  private final ClientBehavior behavior;
  private final Consumer<HistoryEvent> history;
  private final List<SimulatedConnectionPool> pools = new ArrayList<>();

  SimulatedClients(
      VirtualClock clock,
      SimulatedNetwork network,
      NetworkPeer peer,
      List<SimulatedNode> nodes,
      ClientBehavior behavior,
      Consumer<HistoryEvent> history) {
    this.clock = clock;
    this.network = network;
    this.peer = peer;
    this.nodes = nodes;
    this.behavior = behavior;
    this.history = history;
    SimulationMeter off = new SimulationMeter();
    nodes.forEach(
        node ->
            pools.add(
                new SimulatedConnectionPool(
                    clock,
                    network,
                    peer,
                    node,
                    CONNECT,
                    SimulatedConnectionPool.NO_IDLE_TIMEOUT,
                    off)));
  }

  /** Sends all at their times from now on. */
  void sendAll(List<RequestArrival> arrivals) {
    long begun = clock.now();
    next(arrivals.iterator(), begun);
    clock.runAfter(HEALTH, this::askHealth);
  }

  /** Only the next one waits on the timeline: all of a large fleet's would fill it. */
  private void next(Iterator<RequestArrival> arrivals, long begun) {
    if (arrivals.hasNext()) {
      RequestArrival one = arrivals.next();
      clock.runAt(
          begun + one.at(),
          () -> {
            next(arrivals, begun);
            new ClientAttempt(behavior.firstAttempt(one, clock.now())).start();
          });
    }
  }

  private void askHealth() {
    for (int i = 0; i < nodes.size(); i++) {
      if (behavior.front().needsHealthCheck(i)) {
        int node = i;
        SimulatedNode asked = nodes.get(i);
        network.send(
            peer,
            asked.peer(),
            () -> {
              if (asked.ready()) {
                network.send(asked.peer(), peer, () -> behavior.front().markHealthy(node));
              }
            });
      }
    }
    clock.runAfter(HEALTH, this::askHealth);
  }

  /** One request on its way. */
  private final class ClientAttempt
      implements SimulatedConnectionPool.ConnectionUser, SimulatedNode.Client {
    private final ClientRequest request;
    private final SimulatedNode node;
    private final SimulatedConnectionPool pool;
    private int incarnation;
    private boolean reused;
    private boolean ended;

    ClientAttempt(ClientRequest request) {
      this.request = request;
      node = nodes.get(request.node());
      pool = pools.get(request.node());
    }

    void start() {
      pool.acquire(this);
    }

    @Override
    public void connectFailed() {
      behavior.front().connectFailed(clock.now(), request.node());
      if (request.sent()) {
        history.accept(new HistoryEvent.ClientDisconnected(clock.now(), request.id()));
      }
      scheduleRetry(0);
      ended = true;
    }

    @Override
    public void connected(int to, boolean again) {
      if (ended) {
        pool.release(to);
        return;
      }
      incarnation = to;
      reused = again;
      long now = clock.now();
      if (request.markSent(now)) {
        clock.runAt(
            request.deadlineNanos() + ClientBehavior.LATE_RESPONSE_WAIT_NANOS, this::giveUp);
      }
      history.accept(request.sentEvent(now));
      RequestArrival arrival = request.arrival();
      long waitNanos = Math.max(1, request.deadlineNanos() - now);
      network.send(
          peer,
          node.peer(),
          () -> {
            if (node.incarnation() == incarnation) {
              node.receive(
                  new Request(
                      request.id(),
                      arrival.requestClass(),
                      arrival.plan(),
                      arrival.customer(),
                      0,
                      1,
                      request.spread(),
                      arrival.first(),
                      false),
                  waitNanos,
                  request.requestClass().hasIdempotencyKey(),
                  this);
            } else {
              processDied();
            }
          });
    }

    @Override
    public void respond(int status, long retryAfterNanos) {
      network.send(
          node.peer(),
          peer,
          () -> {
            if (!ended) {
              ended = true;
              pool.release(incarnation);
              history.accept(new HistoryEvent.ResponseReceived(clock.now(), request.id(), status));
              if (status != OK) {
                scheduleRetry(retryAfterNanos);
              }
            }
          });
    }

    @Override
    public void processDied() {
      network.send(
          node.peer(),
          peer,
          () -> {
            if (!ended && reused) {
              pool.connect(this);
            } else if (!ended) {
              ended = true;
              history.accept(new HistoryEvent.ConnectionBroken(clock.now(), request.id()));
              scheduleRetry(0);
            }
          });
    }

    /** Asks again after a pause, if it may. */
    private void scheduleRetry(long retryAfterNanos) {
      long delayNanos = request.retryDelayNanos(clock.now(), retryAfterNanos);
      if (delayNanos >= 0) {
        clock.runAfter(
            delayNanos, () -> new ClientAttempt(request.nextAttempt(clock.now())).start());
      }
    }

    private void giveUp() {
      if (!ended) {
        ended = true;
        history.accept(new HistoryEvent.ClientDisconnected(clock.now(), request.id()));
        network.send(
            peer,
            node.peer(),
            () -> {
              if (node.incarnation() == incarnation) {
                node.clientLeft(request.id());
              }
            });
      }
    }
  }
}
