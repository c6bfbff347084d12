package edgegateway.testbed.network;

import edgegateway.testbed.network.NetworkPeer.Role;
import java.util.Locale;

/**
 * Which parties a fault is about: {@code *}, {@code node:NAME}, {@code zone:NAME} or {@code
 * region:NAME}; a {@code !} before it means all others; {@code nodes/} or {@code servers/} before
 * that means only edge nodes or archive servers among them.
 *
 * @param role only these; null for any
 */
public record PeerSelector(Kind kind, String name, boolean others, Role role) {
  private static final String NODES = "nodes/";
  private static final String SERVERS = "servers/";

  /** By what a party is chosen. */
  public enum Kind {
    ALL,
    NODE,
    ZONE,
    REGION
  }

  /**
   * Reads a selector.
   *
   * @throws IllegalArgumentException with one line that quotes what can't be read
   */
  public static PeerSelector parse(String text) {
    Role role = text.startsWith(NODES) ? Role.NODE : text.startsWith(SERVERS) ? Role.SERVER : null;
    String whom = role == null ? text : text.substring(text.indexOf('/') + 1);
    boolean others = whom.startsWith("!");
    String rest = others ? whom.substring(1) : whom;
    if (rest.equals("*") && !others) {
      return new PeerSelector(Kind.ALL, "", false, role);
    }
    int colon = rest.indexOf(':');
    if (colon > 0 && colon < rest.length() - 1) {
      String name = rest.substring(colon + 1);
      switch (rest.substring(0, colon)) {
        case "node":
          return new PeerSelector(Kind.NODE, name, others, role);
        case "zone":
          return new PeerSelector(Kind.ZONE, name, others, role);
        case "region":
          return new PeerSelector(Kind.REGION, name, others, role);
        default:
      }
    }
    throw new IllegalArgumentException(
        "'"
            + text
            + "' is not *, node:NAME, zone:NAME or region:NAME, with ! before it or not, and nodes/ or "
            + "servers/ before that or not");
  }

  /** Whether it means this party. */
  public boolean matches(NetworkPeer party) {
    boolean named =
        switch (kind) {
          case ALL -> true;
          case NODE -> party.name().equals(name);
          case ZONE -> party.zone().equals(name);
          case REGION -> party.region().equals(name);
        };
    return named != others && (role == null || role == party.role());
  }

  @Override
  public String toString() {
    return (role == null ? "" : role == Role.NODE ? NODES : SERVERS)
        + (kind == Kind.ALL
            ? "*"
            : (others ? "!" : "") + kind.name().toLowerCase(Locale.ROOT) + ":" + name);
  }
}
