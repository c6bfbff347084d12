package thistlefall.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import thistlefall.Ports.Request;
import thistlefall.lab.judge.Event;
import thistlefall.lab.load.Arrival;
import thistlefall.lab.load.Front;
import thistlefall.lab.load.Plan;
import thistlefall.lab.load.RequestClass;
import thistlefall.lab.net.Party;

/** The front and the clients behind it, as {@code Clients} plays them on sockets. */
final class ClientsHost {
    private static final long CONNECT = 1_000_000_000L, HEALTH = 100_000_000L, LINGER = 500_000_000L;

    private final Timeline timeline;
    private final Network network;
    private final Party party;
    private final List<NodeHost> nodes;
    private final List<RequestClass> classes;
    private final List<Plan> plans;
    private final Front front;
    private final Consumer<Event> history;
    private final List<Pool> pools = new ArrayList<>();

    ClientsHost(Timeline timeline, Network network, Party party, List<NodeHost> nodes, List<RequestClass> classes, List<Plan> plans,
                long notice, Consumer<Event> history) {
        this.timeline = timeline;
        this.network = network;
        this.party = party;
        this.nodes = nodes;
        this.classes = classes;
        this.plans = plans;
        this.history = history;
        front = new Front(nodes.size(), notice);
        nodes.forEach(node -> pools.add(new Pool(timeline, network, party, node, CONNECT)));
    }

    /** Sends all at their times from now on. */
    void play(List<Arrival> arrivals) {
        long begun = timeline.now();
        arrivals.forEach(one -> timeline.at(begun + one.at(), () -> new Try(one).start()));
        timeline.after(HEALTH, this::askHealth);
    }

    private void askHealth() {
        for (int i = 0; i < nodes.size(); i++) {
            if (front.doubted(i)) {
                int node = i;
                NodeHost asked = nodes.get(i);
                network.pass(party, asked.party(), () -> {
                    if (asked.ready()) {
                        network.pass(asked.party(), party, () -> front.healthy(node));
                    }
                });
            }
        }
        timeline.after(HEALTH, this::askHealth);
    }

    /** One request on its way. */
    private final class Try implements Pool.User, NodeHost.Client {
        private final Arrival of;
        private final int spread, node;
        private final NodeHost host;
        private final Pool pool;
        private long deadline;
        private int life;
        private boolean reused, over;

        Try(Arrival of) {
            this.of = of;
            spread = Math.min(plans.get(of.plan()).spread(), nodes.size());
            node = front.pick(timeline.now(), of, spread);
            host = nodes.get(node);
            pool = pools.get(node);
        }

        void start() {
            pool.take(this);
        }

        @Override
        public void refused() {
            front.refused(timeline.now(), node);
            if (deadline > 0) {
                history.accept(new Event.Left(timeline.now(), of.id()));
            }
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
            if (deadline == 0) {
                deadline = now + of.deadline();
                timeline.after(of.deadline() + LINGER, this::leave);
            }
            history.accept(new Event.Asked(now, of.id(), host.party().name(), of.customer(), of.plan(), of.requestClass(), deadline));
            long span = Math.max(1, deadline - now);
            network.pass(party, host.party(), () -> {
                if (host.life() == life) {
                    host.take(new Request(of.id(), of.requestClass(), of.plan(), of.customer(), 0, 1, spread, of.first(), false), span,
                        classes.get(of.requestClass()).keyed(), this);
                } else {
                    died();
                }
            });
        }

        @Override
        public void answer(int status) {
            network.pass(host.party(), party, () -> {
                if (!over) {
                    over = true;
                    pool.release(life);
                    history.accept(new Event.Answered(timeline.now(), of.id(), status));
                }
            });
        }

        @Override
        public void died() {
            network.pass(host.party(), party, () -> {
                if (!over && reused) {
                    pool.connect(this);
                } else if (!over) {
                    over = true;
                    history.accept(new Event.Broken(timeline.now(), of.id()));
                }
            });
        }

        private void leave() {
            if (!over) {
                over = true;
                history.accept(new Event.Left(timeline.now(), of.id()));
                network.pass(party, host.party(), () -> {
                    if (host.life() == life) {
                        host.left(of.id());
                    }
                });
            }
        }
    }
}
