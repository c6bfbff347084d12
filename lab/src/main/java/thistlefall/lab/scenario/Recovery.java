package thistlefall.lab.scenario;

import java.util.List;

/**
 * How long after its last fault was mended a fleet did as well as before its first one; seconds, and -1 for not by the
 * end of the play. Goodput counts by whole seconds of arrivals, and has come back when two on end have it.
 *
 * @param before goodput before the first fault, its first second left out
 */
public record Recovery(double before, int toHalf, int toNineTenths, int toAll) {
    private static final double HALF = 0.5, MOST = 0.9, ALL = 0.99;

    /** Of a play whose faults begin and end at these seconds; null if it had none, or no second before them. */
    static Recovery of(List<Second> seconds, double faultsFrom, double faultsUntil) {
        int from = (int) faultsFrom, until = (int) Math.ceil(faultsUntil);
        if (from < 2 || until >= seconds.size()) {
            return null;
        }
        double before = goodput(seconds.subList(1, from));
        return new Recovery(before, after(seconds, until, HALF * before), after(seconds, until, MOST * before),
            after(seconds, until, ALL * before));
    }

    private static int after(List<Second> seconds, int until, double least) {
        for (int i = until; i + 1 < seconds.size(); i++) {
            if (goodput(seconds.subList(i, i + 1)) >= least && goodput(seconds.subList(i + 1, i + 2)) >= least) {
                return i - until;
            }
        }
        return -1;
    }

    private static double goodput(List<Second> seconds) {
        double worth = seconds.stream().mapToDouble(Second::worth).sum();
        return worth == 0 ? 1 : seconds.stream().mapToDouble(Second::good).sum() / worth;
    }
}
