package thistlefall.lab.scenario;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import thistlefall.lab.judge.Event;
import thistlefall.lab.judge.Finding;
import thistlefall.lab.load.Arrival;
import thistlefall.lab.load.Plan;
import thistlefall.lab.load.RequestClass;

/**
 * What a play came to.
 *
 * @param asked requests that arrived
 * @param goodput the share of the worth asked for that was answered within its aim, 0 to 1
 * @param served answered with 200
 * @param refused answered with 429 or 503
 * @param failed with any other answer, none, or no connection
 * @param p50Ms median time of a served request, in milliseconds
 * @param p99Ms its 99th percentile
 * @param attempts attempts that reached an archive server
 * @param findings the broken rules
 */
public record Result(String scenario, long seed, String arrivals, int asked, double goodput, int served, int refused, int failed,
                     double p50Ms, double p99Ms, long attempts, List<Finding> findings) {
    private static final double MS = 1e6;
    private static final long MOST = 60_000_000_000L;
    private static final int DIGITS = 3, OK = 200, TOO_MANY = 429, UNAVAILABLE = 503;

    /** Adds up a history. */
    static Result of(Scenario scenario, String digest, List<Arrival> arrivals, List<Event> history, List<Finding> findings) {
        Map<String, Long> askedAt = new HashMap<>();
        Map<String, Event.Answered> answers = new HashMap<>();
        long attempts = 0;
        for (Event event : history.stream().sorted(Comparator.comparingLong(Event::at)).toList()) {
            if (event instanceof Event.Asked asked) {
                askedAt.putIfAbsent(asked.id(), asked.at());
            } else if (event instanceof Event.Answered answered) {
                answers.putIfAbsent(answered.id(), answered);
            } else if (event instanceof Event.Sent) {
                attempts++;
            }
        }
        Histogram times = new Histogram(MOST, DIGITS);
        double worth = 0, good = 0;
        int served = 0, refused = 0;
        for (Arrival one : arrivals) {
            RequestClass kind = scenario.load().classes().get(one.requestClass()).requestClass();
            Plan plan = scenario.load().plans().get(one.plan()).plan();
            double its = kind.worth() * plan.price();
            worth += its;
            Event.Answered answer = answers.get(one.id());
            if (answer != null && answer.status() == OK) {
                long took = answer.at() - askedAt.get(one.id());
                times.recordValue(Math.min(took, MOST));
                served++;
                good += took <= kind.aim() ? its : 0;
            } else if (answer != null && (answer.status() == TOO_MANY || answer.status() == UNAVAILABLE)) {
                refused++;
            }
        }
        return new Result(scenario.name(), scenario.seed(), digest, arrivals.size(), worth == 0 ? 0 : good / worth, served, refused,
            arrivals.size() - served - refused, times.getValueAtPercentile(50) / MS, times.getValueAtPercentile(99) / MS, attempts,
            findings);
    }
}
