package thistlefall.lab.load;

/**
 * A class of requests, as the settings name it.
 *
 * @param share its part of all requests, above 0; shares need not sum to 1
 * @param keyed whether its requests carry an idempotency key; others are safe to repeat
 * @param deadline for how long a client waits at most, in nanoseconds
 * @param work mean work, in nanoseconds of a core
 */
public record RequestClass(String name, double share, boolean keyed, long deadline, double work) {
    /** Checks its ranges; the message names the figure. */
    public RequestClass {
        if (!(share > 0) || deadline <= 0 || !(work > 0)) {
            throw new IllegalArgumentException(name + ": " + (!(share > 0) ? "share" : deadline <= 0 ? "deadline" : "work")
                + " is not above 0");
        }
    }
}
