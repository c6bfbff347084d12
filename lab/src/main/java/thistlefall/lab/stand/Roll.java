package thistlefall.lab.stand;

import java.util.List;

/**
 * A message of discovery.
 *
 * @param revision the version of the list that it brings its reader to
 * @param complete whether it is the whole list; else only what changed
 */
public record Roll(long revision, boolean complete, List<Member> members) {
}
