package thistlefall.lab.model;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import thistlefall.Ports.Readiness;
import thistlefall.Ports.Server;
import thistlefall.Ports.Settings;
import thistlefall.SettingsReader;
import thistlefall.lab.fleet.NodeConfig;
import thistlefall.lab.fleet.Topology;
import thistlefall.lab.judge.Event;
import thistlefall.lab.load.Arrival;
import thistlefall.lab.load.Retries;
import thistlefall.lab.net.Conditions;
import thistlefall.lab.net.Faults;
import thistlefall.lab.net.Party;
import thistlefall.lab.net.Selector;
import thistlefall.lab.scenario.CounterFaults;
import thistlefall.lab.scenario.Result;
import thistlefall.lab.scenario.Scenario;
import thistlefall.lab.scenario.Scenario.Trouble;
import thistlefall.lab.scenario.Script;
import thistlefall.lab.scenario.ServerFaults;
import thistlefall.lab.scenario.Stage;
import thistlefall.node.SettingsPairs;

/**
 * One play of a scenario on a clock of its own: the program's module in each node, the lab's stand-ins around them. The
 * same scenario and seed give the same history, on any machine.
 */
public final class Model implements Stage {
    /** Not 0: that stands for long ago. */
    private static final long START = 1_000_000_000_000L;
    /** Long enough for all nodes to be ready, as a play on processes waits for them. */
    private static final long SETTLE = 3_000_000_000L;
    private static final long END = 1_000_000_000L;
    private static final double CORES = 4;

    private final Scenario scenario;
    private final List<Arrival> arrivals;
    private final Topology topology;
    private final Timeline timeline = new Timeline(START);
    private final Faults faults = new Faults();
    private final SplittableRandom chance;
    private final Network network;
    private final List<Event> history = new ArrayList<>();
    private final Map<String, ServerHost> servers = new LinkedHashMap<>();
    private final List<NodeHost> nodes = new ArrayList<>();
    private final CounterHost counter;

    private Model(Scenario scenario, Consumer<String> log) throws IOException {
        this.scenario = scenario;
        arrivals = scenario.arrivals();
        topology = scenario.topology().topology();
        chance = new SplittableRandom(scenario.seed());
        network = new Network(timeline, faults, chance.split());
        for (Party server : topology.servers()) {
            servers.put(server.name(), new ServerHost(timeline, server, scenario.servers().terms(), history::add));
        }
        counter = new CounterHost(timeline, topology.counter(), scenario.counter().terms());
        Map<String, Long> works = new HashMap<>();
        arrivals.forEach(one -> works.put(one.id(), one.work()));
        for (Party node : topology.nodes()) {
            Settings settings = SettingsReader.read(SettingsPairs.of(NodeConfig.settings(topology, scenario.told(), node)));
            nodes.add(new NodeHost(node, new NodeHost.Surroundings(timeline, network, settings, scenario.told().zones(), topology.zones(),
                this::list, servers, counter, id -> works.get(Retries.request(id)), this::told, (who, text) -> log.accept(String.format("%.3f s %s: %s",
                    (timeline.now() - START - SETTLE) / 1e9, who.name(), text))), chance.split()));
        }
    }

    /** Plays a scenario from its start to its last answer; {@code log} hears the nodes' own lines. */
    public static Result of(Scenario scenario, Consumer<String> log) throws IOException, InterruptedException {
        return new Model(scenario, log).play();
    }

    private Result play() throws IOException, InterruptedException {
        nodes.forEach(NodeHost::start);
        timeline.run(START + SETTLE);
        long begun = timeline.now();
        new ClientsHost(timeline, network, topology.front(), nodes, scenario.asking(), history::add).play(arrivals);
        for (Script.Step step : Script.of(scenario, this)) {
            timeline.run(begun + step.at());
            step.change().make();
        }
        long longest = arrivals.stream().mapToLong(one -> one.at() + one.deadline()).max().orElse(0);
        timeline.run(begun + longest + END);
        servers.values().forEach(this::last);
        return Result.of(scenario, arrivals, history, begun, timeline.now());
    }

    private void die(ServerHost server) {
        last(server);
        history.add(new Event.Died(now(), server.party().name()));
        server.kill();
    }

    private void last(ServerHost server) {
        lived(server.party(), server.pressure(), server.fellAt());
    }

    private List<Server> list() {
        return servers.values().stream().map(this::entry).toList();
    }

    private Server entry(ServerHost of) {
        int zone = topology.zones().indexOf(of.party().zone());
        return new Server(of.party().name(), CORES, zone, zone, 0, of.draining() ? Readiness.DRAINING : Readiness.READY,
            of.startedAt());
    }

    @Override
    public long now() {
        return timeline.now();
    }

    @Override
    public void seen(Event event) {
        history.add(event);
    }

    @Override
    public void fault(String name, Selector from, Selector to, boolean both, Conditions conditions) {
        faults.set(name, from, to, both, conditions);
    }

    @Override
    public void clear(String name) {
        faults.clear(name);
    }

    @Override
    public void begin(Scenario.Trouble what, Selector whom, long span) {
        if (what == Trouble.ZONE_OUT) {
            nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), true));
            return;
        }
        for (NodeHost node : nodes(whom)) {
            switch (what) {
                case KILL -> {
                    lost(node, 0);
                    node.kill();
                }
                case STOP -> {
                    lost(node, span);
                    node.pause();
                }
                case TERM -> node.term();
                case SILENT -> node.silence(true);
                case DRAIN, SLOW, FAILING, ZONE_OUT -> { }
            }
        }
        for (ServerHost server : servers(whom)) {
            SplittableRandom own = chance.split();
            server.on(core -> ServerFaults.begin(what, core, now(), own));
            if (what == Trouble.KILL) {
                die(server);
            } else if (what == Trouble.DRAIN) {
                server.drain();
                tell(server);
            }
        }
    }

    @Override
    public void end(Scenario.Trouble what, Selector whom) {
        if (what == Trouble.ZONE_OUT) {
            nodes.forEach(node -> node.leaveZone(topology.zones().indexOf(whom.name()), false));
            return;
        }
        for (ServerHost server : servers(whom)) {
            server.on(core -> ServerFaults.end(what, core, now()));
            if (what == Trouble.DRAIN) {
                die(server);
            }
            if (what == Trouble.DRAIN || what == Trouble.KILL) {
                server.start();
                history.add(new Event.Started(now(), server.party().name()));
                tell(server);
            }
        }
        for (NodeHost node : nodes(whom)) {
            switch (what) {
                case KILL, TERM -> node.start();
                case STOP -> node.resume();
                case SILENT -> node.silence(false);
                case DRAIN, SLOW, FAILING, ZONE_OUT -> { }
            }
        }
    }

    private void lost(NodeHost node, long span) {
        history.add(new Event.Lost(now(), node.party().name(), now() + span + Script.GRACE));
    }

    private void tell(ServerHost server) {
        Server entry = entry(server);
        timeline.after(Script.TOLD, () -> nodes.forEach(node -> node.told(entry)));
    }

    private void told(Party node, Server entry) {
        if (entry.readiness() != Readiness.READY) {
            history.add(new Event.Told(now(), node.name(), entry.id()));
        } else if (entry.startedAt() > 0) {
            history.add(new Event.Learned(now(), node.name(), entry.id()));
        }
    }

    private List<NodeHost> nodes(Selector whom) {
        return nodes.stream().filter(node -> whom.matches(node.party())).toList();
    }

    private List<ServerHost> servers(Selector whom) {
        return servers.values().stream().filter(server -> whom.matches(server.party())).toList();
    }

    @Override
    public void begin(Scenario.CounterTrouble what) {
        counter.on(core -> CounterFaults.begin(what, core, now()));
    }

    @Override
    public void end(Scenario.CounterTrouble what) {
        counter.on(core -> CounterFaults.end(what, core, now()));
    }
}
