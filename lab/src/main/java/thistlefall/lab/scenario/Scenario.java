package thistlefall.lab.scenario;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import thistlefall.lab.fleet.Topology;
import thistlefall.lab.load.Plan;
import thistlefall.lab.load.RequestClass;
import thistlefall.lab.net.Conditions;
import thistlefall.lab.net.Party;
import thistlefall.lab.net.Selector;
import thistlefall.lab.stand.CounterTerms;
import thistlefall.lab.stand.ServerTerms;

/**
 * A scenario file, in YAML: who there is, what is asked, what goes wrong when, and what must hold. Spans ending in
 * {@code S} are seconds, in {@code Ms} milliseconds.
 *
 * @param seed all that is drawn comes from it
 * @param spanS for how long requests arrive
 * @param least the least share of the worth asked for that must be answered within its aim, 0 to 1
 */
public record Scenario(String name, long seed, double spanS, Fleet topology, Servers servers, Counter counter, Traffic load,
                       List<Fault> faults, double least) {
    private static final double SECOND = 1e9, MS = 1e6;
    private static final ObjectMapper YAML = YAMLMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.KEBAB_CASE)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
            DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    /** What one machine of ours bears. */
    private static final int MOST_NODES = 40, MOST_SERVERS = 200;
    private static final double MOST_SPAN_S = 3_600;

    /** A file that can't be played; the message is one line that names the place. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String message) {
            super(message);
        }
    }

    /** How many there are, spread evenly over zones. */
    public record Fleet(List<String> zones, int nodes, int servers) {
        /** Checks its ranges; the message names the figure. */
        public Fleet {
            check(!zones.isEmpty(), "zones is empty");
            check(nodes >= 1 && nodes <= MOST_NODES, "nodes is not 1 to " + MOST_NODES);
            check(servers >= 1 && servers <= MOST_SERVERS, "servers is not 1 to " + MOST_SERVERS);
        }

        Topology topology() {
            return Topology.even(zones, nodes, servers);
        }
    }

    /** What archive servers are made of. */
    public record Servers(double cores, int slots, int room, double coldFrom, double rampS, double overload, double tipAfterS,
                          double keyLifeS) {
        /** Checks its ranges; the message names the figure. */
        public Servers {
            terms(cores, slots, room, coldFrom, rampS, overload, tipAfterS, keyLifeS);
        }

        ServerTerms terms() {
            return terms(cores, slots, room, coldFrom, rampS, overload, tipAfterS, keyLifeS);
        }

        private static ServerTerms terms(double cores, int slots, int room, double coldFrom, double rampS, double overload,
                                         double tipAfterS, double keyLifeS) {
            return new ServerTerms(cores, slots, room, coldFrom, (long) (rampS * SECOND), overload, (long) (tipAfterS * SECOND),
                (long) (keyLifeS * SECOND));
        }
    }

    /** What the counter is made of. */
    public record Counter(int parts, double perCallMs, int line) {
        /** Checks its ranges; the message names the figure. */
        public Counter {
            new CounterTerms(parts, (long) (perCallMs * MS), line);
        }

        CounterTerms terms() {
            return new CounterTerms(parts, (long) (perCallMs * MS), line);
        }
    }

    /** What is asked. */
    public record Traffic(double shiftS, double skew, double noticeS, List<Kind> classes, List<Customers> plans) {
        /** Checks its ranges; the message names the figure. */
        public Traffic {
            check(shiftS > 0, "shift-s is not above 0");
            check(skew >= 0, "skew is below 0");
            check(noticeS >= 0, "notice-s is below 0");
            check(!classes.isEmpty(), "classes is empty");
            check(!plans.isEmpty(), "plans is empty");
        }
    }

    /** A class of requests. */
    public record Kind(String name, double share, boolean keyed, double aimS, double deadlineS, double workMs, double worth) {
        /** Checks its ranges; the message names the figure. */
        public Kind {
            new RequestClass(name, share, keyed, (long) (aimS * SECOND), (long) (deadlineS * SECOND), workMs * MS, worth);
        }

        RequestClass requestClass() {
            return new RequestClass(name, share, keyed, (long) (aimS * SECOND), (long) (deadlineS * SECOND), workMs * MS, worth);
        }
    }

    /** A plan and its customers. */
    public record Customers(String name, int customers, double rate, double burst, double price, double ceiling, double use,
                            int spread) {
        /** Checks its ranges; the message names the figure. */
        public Customers {
            new Plan(name, customers, rate, burst, price, ceiling, use, spread);
        }

        Plan plan() {
            return new Plan(name, customers, rate, burst, price, ceiling, use, spread);
        }
    }

    /**
     * Something that goes wrong at {@code atS} and is mended at {@code untilS}: the ways from these to those, both ways or
     * one, are cut, lossy or slow; or processes of nodes and archive servers are killed, and started again.
     */
    public record Fault(double atS, double untilS, String from, String to, Boolean both, Boolean cut,
                        Double loss, Double delayMs, String kill) {
        /** Checks its ranges; the message names the figure. */
        public Fault {
            check(atS >= 0 && untilS > atS, "at-s is below 0, or until-s is not after it");
            check((kill == null) == (from != null && to != null), "from and to are wanted, or kill");
            Stream.of(from == null ? "*" : from, to == null ? "*" : to, kill == null ? "*" : kill).forEach(Selector::parse);
            conditions(cut, loss, delayMs);
        }

        Conditions conditions() {
            return conditions(cut, loss, delayMs);
        }

        private static Conditions conditions(Boolean cut, Double loss, Double delayMs) {
            return new Conditions(Boolean.TRUE.equals(cut), loss == null ? 0 : loss, 0, delayMs == null ? 0 : (long) (delayMs * MS), 0, 0);
        }
    }

    /** Checks its ranges; the message names the figure. */
    public Scenario {
        check(spanS > 0 && spanS <= MOST_SPAN_S, "span-s is not above 0 and up to " + MOST_SPAN_S);
        check(least >= 0 && least <= 1, "least is not 0 to 1");
        faults = faults == null ? List.of() : faults;
        Topology of = topology.topology();
        for (Fault fault : faults) {
            Stream.of(fault.from(), fault.to(), fault.kill()).filter(Objects::nonNull).forEach(text -> known(of, text));
        }
    }

    /** A fault about nobody is a slip of the pen, not a calm day. */
    private static void known(Topology of, String text) {
        Selector selector = Selector.parse(text);
        Stream<Party> all = Stream.of(of.nodes().stream(), of.servers().stream(), Stream.of(of.front(), of.counter(), of.discovery()))
            .flatMap(one -> one);
        Selector named = new Selector(selector.kind(), selector.name(), false);
        check(all.anyMatch(named::matches), "'" + text + "' names nobody");
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Reads and checks a whole file. */
    public static Scenario read(Path file) throws Invalid {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new Invalid(file + " cannot be read: " + e.getMessage());
        }
    }

    static Scenario parse(String text) throws Invalid {
        try {
            return YAML.readValue(text, Scenario.class);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            Throwable cause = e;
            while (cause.getCause() != null) {
                cause = cause.getCause();
            }
            String said = cause instanceof JsonProcessingException json ? json.getOriginalMessage() : cause.getMessage();
            throw new Invalid("line " + (at == null ? "?" : at.getLineNr()) + ": " + key(e)
                + (said.startsWith("Cannot map `null`") ? "is missing" : said.lines().findFirst().orElse("")));
        }
    }

    /** Where in the file's tree it is, as a prefix; empty where that is not known. */
    private static String key(JsonProcessingException e) {
        String key = e instanceof JsonMappingException mapping ? mapping.getPath().stream()
            .map(one -> one.getFieldName() == null ? Integer.toString(one.getIndex()) : one.getFieldName())
            .collect(Collectors.joining(".")) : "";
        return key.isEmpty() ? "" : key + " ";
    }

    /** The same with another seed. */
    public Scenario withSeed(long other) {
        return new Scenario(name, other, spanS, topology, servers, counter, load, faults, least);
    }
}
