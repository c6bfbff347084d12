package thistlefall.lab.model;

import thistlefall.lab.net.Party;

/** One party's connections to another, each with one request at a time; idle ones are used again while their peer lives. */
final class Pool {
    /** Hears how it went; {@code reused} connections may be closed from the other end at any moment. */
    interface User {
        /** A connection to this life of the peer. */
        void connected(int life, boolean reused);

        /** None came up in time, or nobody listens. */
        void refused();
    }

    private final Timeline timeline;
    private final Network network;
    private final Party from;
    private final Peer to;
    private final long timeout;
    private int idle, idleLife;

    Pool(Timeline timeline, Network network, Party from, Peer to, long timeout) {
        this.timeline = timeline;
        this.network = network;
        this.from = from;
        this.to = to;
        this.timeout = timeout;
    }

    /** Takes an idle connection at once, or makes a new one. */
    void take(User user) {
        if (idle > 0 && idleLife == to.life()) {
            idle--;
            user.connected(idleLife, true);
        } else {
            connect(user);
        }
    }

    /** Makes a new one. */
    void connect(User user) {
        boolean[] over = new boolean[1];
        timeline.after(timeout, () -> {
            if (!over[0]) {
                over[0] = true;
                user.refused();
            }
        });
        network.pass(from, to.party(), () -> {
            boolean up = to.listens();
            int life = to.life();
            network.pass(to.party(), from, () -> {
                if (!over[0]) {
                    over[0] = true;
                    if (up) {
                        user.connected(life, false);
                    } else {
                        user.refused();
                    }
                }
            });
        });
    }

    /** A connection is idle again. */
    void release(int life) {
        if (life == to.life()) {
            idle = idleLife == life ? idle + 1 : 1;
            idleLife = life;
        }
    }
}
