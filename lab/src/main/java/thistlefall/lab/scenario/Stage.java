package thistlefall.lab.scenario;

import java.io.IOException;
import thistlefall.lab.judge.Event;
import thistlefall.lab.net.Conditions;
import thistlefall.lab.net.Selector;

/** What a scenario's faults act on: real processes, or a model of them. */
public interface Stage {
    /** Its clock, in nanoseconds. */
    long now();

    /** Writes something into the history that the judge reads. */
    void seen(Event event);

    /** From now on the way between these is so, in the one direction or in both. */
    void fault(String name, Selector from, Selector to, boolean both, Conditions conditions) throws IOException;

    /** Ends a fault. */
    void clear(String name) throws IOException;

    /** Kills the processes of nodes and archive servers, and writes down which nodes were lost. */
    void kill(Selector whom, Scenario.Only only) throws IOException;

    /** Starts them again, and writes down which archive servers began anew. */
    void restart(Selector whom, Scenario.Only only) throws IOException, InterruptedException;
}
