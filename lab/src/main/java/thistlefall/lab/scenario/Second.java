package thistlefall.lab.scenario;

import java.util.Map;

/**
 * What came of the requests that arrived in one second of a play.
 *
 * @param asked how many arrived
 * @param worth the worth asked for
 * @param good the worth answered within its aim
 * @param attempts attempts that reached archive servers in this second, by zone
 */
public record Second(int asked, double worth, double good, int served, int refused, Map<String, Integer> attempts) {
}
