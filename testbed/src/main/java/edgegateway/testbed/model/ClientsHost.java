package edgegateway.testbed.model;

import edgegateway.policy.api.Request;
import edgegateway.testbed.judge.Event;
import edgegateway.testbed.load.Arrival;
import edgegateway.testbed.load.Asking;
import edgegateway.testbed.load.Asking.Ask;
import edgegateway.testbed.net.Party;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/** The front and the clients behind it, as {@code Clients} plays them on sockets. */
final class ClientsHost {
  private static final long CONNECT = 1_000_000_000L;
  private static final long HEALTH = 100_000_000L;
  private static final int OK = 200;

  private final Timeline timeline;
  private final Network network;
  private final Party party;
  private final List<NodeHost> nodes;
  private final Asking asking;
  private final Consumer<Event> history;
  private final List<Pool> pools = new ArrayList<>();

  ClientsHost(
      Timeline timeline,
      Network network,
      Party party,
      List<NodeHost> nodes,
      Asking asking,
      Consumer<Event> history) {
    this.timeline = timeline;
    this.network = network;
    this.party = party;
    this.nodes = nodes;
    this.asking = asking;
    this.history = history;
    Meter off = new Meter();
    nodes.forEach(
        node -> pools.add(new Pool(timeline, network, party, node, CONNECT, Pool.EVER, off)));
  }

  /** Sends all at their times from now on. */
  void play(List<Arrival> arrivals) {
    long begun = timeline.now();
    next(arrivals.iterator(), begun);
    timeline.after(HEALTH, this::askHealth);
  }

  /** Only the next one waits on the timeline: all of a large fleet's would fill it. */
  private void next(Iterator<Arrival> arrivals, long begun) {
    if (arrivals.hasNext()) {
      Arrival one = arrivals.next();
      timeline.at(
          begun + one.at(),
          () -> {
            next(arrivals, begun);
            new Try(asking.first(one, timeline.now())).start();
          });
    }
  }

  private void askHealth() {
    for (int i = 0; i < nodes.size(); i++) {
      if (asking.front().doubted(i)) {
        int node = i;
        NodeHost asked = nodes.get(i);
        network.pass(
            party,
            asked.party(),
            () -> {
              if (asked.ready()) {
                network.pass(asked.party(), party, () -> asking.front().healthy(node));
              }
            });
      }
    }
    timeline.after(HEALTH, this::askHealth);
  }

  /** One request on its way. */
  private final class Try implements Pool.User, NodeHost.Client {
    private final Ask ask;
    private final NodeHost host;
    private final Pool pool;
    private int life;
    private boolean reused;
    private boolean over;

    Try(Ask ask) {
      this.ask = ask;
      host = nodes.get(ask.node());
      pool = pools.get(ask.node());
    }

    void start() {
      pool.take(this);
    }

    @Override
    public void refused() {
      asking.front().refused(timeline.now(), ask.node());
      if (ask.asked()) {
        history.accept(new Event.Left(timeline.now(), ask.id()));
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
        timeline.at(ask.deadline() + Asking.LINGER, this::leave);
      }
      history.accept(ask.event(now));
      Arrival of = ask.of();
      long span = Math.max(1, ask.deadline() - now);
      network.pass(
          party,
          host.party(),
          () -> {
            if (host.life() == life) {
              host.take(
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
              died();
            }
          });
    }

    @Override
    public void answer(int status, long advice) {
      network.pass(
          host.party(),
          party,
          () -> {
            if (!over) {
              over = true;
              pool.release(life);
              history.accept(new Event.Answered(timeline.now(), ask.id(), status));
              if (status != OK) {
                again(advice);
              }
            }
          });
    }

    @Override
    public void died() {
      network.pass(
          host.party(),
          party,
          () -> {
            if (!over && reused) {
              pool.connect(this);
            } else if (!over) {
              over = true;
              history.accept(new Event.Broken(timeline.now(), ask.id()));
              again(0);
            }
          });
    }

    /** Asks again after a pause, if it may. */
    private void again(long advice) {
      long pause = ask.pause(timeline.now(), advice);
      if (pause >= 0) {
        timeline.after(pause, () -> new Try(ask.again(timeline.now())).start());
      }
    }

    private void leave() {
      if (!over) {
        over = true;
        history.accept(new Event.Left(timeline.now(), ask.id()));
        network.pass(
            party,
            host.party(),
            () -> {
              if (host.life() == life) {
                host.left(ask.id());
              }
            });
      }
    }
  }
}
