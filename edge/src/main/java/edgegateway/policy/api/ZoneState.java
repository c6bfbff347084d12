package edgegateway.policy.api;

/**
 * How a zone stands.
 *
 * @param share the part of the work that it would get that it gets now: 0 out, 1 in, between them
 *     on its way back
 * @param since when that began; 0 for always
 * @param listed its servers on the list
 * @param usable those that may be sent to
 * @param byHand whether operators decided that
 */
public record ZoneState(double share, long since, int listed, int usable, boolean byHand) {}
