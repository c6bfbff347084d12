package edgegateway.testbed.scenario;

/**
 * A fault of a play: when it began and was mended, in seconds from the first arrival, and what it
 * was.
 */
public record FaultInterval(double fromS, double untilS, String text) {}
