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
import thistlefall.lab.load.Retries;
import thistlefall.lab.net.Party;

/** The front and the clients behind it, as {@code Clients} plays them on sockets. */
final class ClientsHost {
    private static final long CONNECT = 1_000_000_000L, HEALTH = 100_000_000L, LINGER = 500_000_000L;
    private static final int OK = 200;

    private final Timeline timeline;
    private final Network network;
    private final Party party;
    private final List<NodeHost> nodes;
    private final List<RequestClass> classes;
    private final List<Plan> plans;
    private final Front front;
    private final Retries retries;
    private final Consumer<Event> history;
    private final List<Pool> pools = new ArrayList<>();

    ClientsHost(Timeline timeline, Network network, Party party, List<NodeHost> nodes, List<RequestClass> classes, List<Plan> plans,
                Retries retries, long notice, Consumer<Event> history) {
        this.retries = retries;
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
        arrivals.forEach(one -> timeline.at(begun + one.at(), () -> new Try(one, 0, 0).start()));
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
        private final String id;
        private final int number, spread, node;
        private final NodeHost host;
        private final Pool pool;
        private long deadline;
        private int life;
        private boolean reused, asked, over;

        /** {@code until} is the first try's deadline; 0 for the first one itself. */
        Try(Arrival of, int number, long until) {
            this.of = of;
            this.number = number;
            id = Retries.id(of.id(), number);
            deadline = until;
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
            if (asked) {
                history.accept(new Event.Left(timeline.now(), id));
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
            if (!asked) {
                asked = true;
                deadline = deadline == 0 ? now + of.deadline() : deadline;
                timeline.at(deadline + LINGER, this::leave);
            }
            history.accept(new Event.Asked(now, id, host.party().name(), of.customer(), of.plan(), of.requestClass(), deadline));
            long span = Math.max(1, deadline - now);
            network.pass(party, host.party(), () -> {
                if (host.life() == life) {
                    host.take(new Request(id, of.requestClass(), of.plan(), of.customer(), 0, 1, spread, of.first(), false), span,
                        classes.get(of.requestClass()).keyed(), this);
                } else {
                    died();
                }
            });
        }

        @Override
        public void answer(int status, long advice) {
            network.pass(host.party(), party, () -> {
                if (!over) {
                    over = true;
                    pool.release(life);
                    history.accept(new Event.Answered(timeline.now(), id, status));
                    if (status != OK) {
                        again(advice);
                    }
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
                    history.accept(new Event.Broken(timeline.now(), id));
                    again(0);
                }
            });
        }

        /** Asks again after a pause, if it may. */
        private void again(long advice) {
            long left = deadline == 0 ? of.deadline() : deadline - timeline.now();
            long pause = retries.pause(of.id(), number + 1, advice, left);
            if (pause >= 0) {
                long until = timeline.now() + left;
                timeline.after(pause, () -> new Try(of, number + 1, until).start());
            }
        }

        private void leave() {
            if (!over) {
                over = true;
                history.accept(new Event.Left(timeline.now(), id));
                network.pass(party, host.party(), () -> {
                    if (host.life() == life) {
                        host.left(id);
                    }
                });
            }
        }
    }
}
