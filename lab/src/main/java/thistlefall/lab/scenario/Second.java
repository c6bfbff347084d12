package thistlefall.lab.scenario;

import java.util.Map;

/**
 * What came of the requests that arrived in one second of a play.
 *
 * @param asked how many arrived
 * @param worth the worth asked for
 * @param good the worth answered within its aim
 * @param possible the worth that the archive servers that ran could have served in this second, the dearest first
 * @param attempts attempts that reached archive servers in this second, by zone
 */
public record Second(int asked, double worth, double good, double possible, int served, int refused, Map<String, Integer> attempts) {
}
