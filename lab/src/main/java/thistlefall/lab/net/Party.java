package thistlefall.lab.net;

/**
 * Whoever speaks over the lab's network.
 *
 * @param name unique in a fleet, such as {@code n3} or {@code counter}
 * @param zone where it stands
 * @param region the zone's region
 */
public record Party(String name, String zone, String region) {
}
