package thistlefall.lab.scenario;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import thistlefall.lab.fleet.Fleet;
import thistlefall.lab.fleet.Topology;
import thistlefall.lab.judge.Event;
import thistlefall.lab.load.Arrival;
import thistlefall.lab.load.Clients;
import thistlefall.lab.net.Conditions;
import thistlefall.lab.net.Party;
import thistlefall.lab.net.Selector;
import thistlefall.lab.process.DeployFile;
import thistlefall.lab.process.NodeProcess.Signal;
import thistlefall.lab.stand.ArchiveServer;
import thistlefall.lab.stand.http.ArchiveServerPort;

/** One play of a scenario with real processes. */
public final class Play implements Stage {
    private static final double SECOND = 1e9;
    private static final long READY_S = 60, END_S = 30, LOOK_MS = 20;
    private final Scenario scenario;
    private final Topology topology;
    private final Queue<Event> history = new ConcurrentLinkedQueue<>();
    private final Consumer<String> progress;
    /** Archive servers that were started anew. */
    private final Set<Party> began = new LinkedHashSet<>();
    private final Map<String, Long> works = new HashMap<>();
    private Fleet fleet;

    private Play(Scenario scenario, Consumer<String> progress) {
        this.scenario = scenario;
        this.progress = progress;
        topology = scenario.topology().topology();
    }

    /**
     * Plays a scenario from its start to its last answer.
     *
     * @param folder for the nodes' own folders
     * @param progress hears a line for each step
     * @throws IOException if a process or a socket can't be had
     */
    public static Result of(Scenario scenario, DeployFile deploy, Path folder, Consumer<String> progress)
        throws IOException, InterruptedException {
        return new Play(scenario, progress).run(deploy, folder);
    }

    private Result run(DeployFile deploy, Path folder) throws IOException, InterruptedException {
        List<Arrival> arrivals = scenario.arrivals();
        arrivals.forEach(one -> works.put(one.id(), one.work()));
        long begun;
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (Fleet started = new Fleet(topology, deploy, folder, new Fleet.Terms(scenario.servers().terms(),
            scenario.counter().terms(), scenario.told(), works::get), this::history, scenario.seed())) {
            fleet = started;
            fleet.start(topology.nodes());
            ready();
            progress.accept(topology.nodes().size() + " nodes are ready, " + arrivals.size() + " requests follow");
            Clients clients = new Clients(loops.next(), topology.nodes().stream().map(Party::name).toList(),
                node -> fleet.door(topology.nodes().get(node)), scenario.classes(), scenario.plans(), scenario.notice(), history::add);
            begun = System.nanoTime();
            CompletableFuture<Void> done = clients.play(arrivals);
            for (Script.Step step : Script.of(scenario, this)) {
                long left = begun + step.at() - System.nanoTime();
                if (left > 0) {
                    TimeUnit.NANOSECONDS.sleep(left);
                }
                progress.accept(String.format("%.2f s  %s", (System.nanoTime() - begun) / SECOND, step.text()));
                step.change().make();
            }
            await(done, arrivals);
            topology.servers().forEach(this::last);
            for (Party node : topology.nodes()) {
                Files.write(folder.resolve(node.name()).resolve("log"), fleet.log(node));
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        return Result.of(scenario, arrivals, List.copyOf(history), begun, System.nanoTime());
    }

    private void await(CompletableFuture<Void> done, List<Arrival> arrivals) throws IOException, InterruptedException {
        long longest = arrivals.stream().mapToLong(Arrival::deadline).max().orElse(0);
        try {
            done.get((long) (scenario.spanS() * SECOND) + longest + TimeUnit.SECONDS.toNanos(END_S), TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the play does not end", e);
        }
    }

    private void ready() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
        for (Party node : topology.nodes()) {
            while (!fleet.healthy(node)) {
                if (System.nanoTime() > until) {
                    throw new IOException(node.name() + " is never ready: " + fleet.log(node));
                }
                Thread.sleep(LOOK_MS);
            }
        }
    }

    private ArchiveServerPort.History history(Party server) {
        return new ArchiveServerPort.History() {
            @Override
            public void arrived(long at, String id, String key) {
                history.add(new Event.Sent(at, id, server.name()));
            }

            @Override
            public void ended(long at, String id, ArchiveServer.Ending how) {
                if (how == ArchiveServer.Ending.TURNED_AWAY) {
                    history.add(new Event.TurnedAway(at, id, server.name()));
                }
            }
        };
    }

    private void learned(Party node, Party server, long delay) {
        history.add(new Event.Learned(System.nanoTime() + delay, node.name(), server.name()));
    }

    /** What there is to say of a server's life at its end. */
    private void last(Party server) {
        history.add(new Event.Pressed(System.nanoTime(), server.name(), fleet.pressure(server)));
        if (fleet.fellAt(server) != Long.MAX_VALUE) {
            history.add(new Event.Fell(fleet.fellAt(server), server.name()));
        }
    }

    @Override
    public long now() {
        return System.nanoTime();
    }

    @Override
    public void seen(Event event) {
        history.add(event);
    }

    @Override
    public void fault(String name, Selector from, Selector to, boolean both, Conditions conditions) throws IOException {
        fleet.fault(name, from, to, both, conditions);
    }

    @Override
    public void clear(String name) throws IOException {
        fleet.clear(name);
    }

    @Override
    public void kill(Selector whom, Scenario.Only only) throws IOException {
        for (Party node : topology.nodes().stream().filter(node -> only.nodes() && whom.matches(node)).toList()) {
            long from = System.nanoTime();
            fleet.signal(node, Signal.KILL);
            history.add(new Event.Lost(from, node.name(), System.nanoTime() + Script.GRACE));
        }
        for (Party server : topology.servers().stream().filter(server -> only.servers() && whom.matches(server)).toList()) {
            last(server);
            fleet.kill(server);
        }
    }

    @Override
    public void restart(Selector whom, Scenario.Only only) throws IOException, InterruptedException {
        for (Party server : topology.servers().stream().filter(server -> only.servers() && whom.matches(server)).toList()) {
            fleet.restart(server, Script.TOLD);
            history.add(new Event.Started(System.nanoTime(), server.name()));
            began.add(server);
            topology.nodes().forEach(node -> learned(node, server, Script.TOLD));
        }
        for (Party node : topology.nodes().stream().filter(node -> only.nodes() && whom.matches(node)).toList()) {
            began.forEach(server -> learned(node, server, 0));
        }
        fleet.start(topology.nodes().stream().filter(node -> only.nodes() && whom.matches(node)).toList());
    }
}
