package thistlefall.lab.net;

import java.util.Locale;

/**
 * Which parties a fault is about: {@code *}, {@code node:NAME}, {@code zone:NAME} or {@code region:NAME}; a leading
 * {@code !} means all others.
 */
public record Selector(Kind kind, String name, boolean others) {
    /** By what a party is chosen. */
    public enum Kind { ALL, NODE, ZONE, REGION }

    /**
     * Reads a selector.
     *
     * @throws IllegalArgumentException with one line that quotes what can't be read
     */
    public static Selector parse(String text) {
        boolean others = text.startsWith("!");
        String rest = others ? text.substring(1) : text;
        if (rest.equals("*") && !others) {
            return new Selector(Kind.ALL, "", false);
        }
        int colon = rest.indexOf(':');
        if (colon > 0 && colon < rest.length() - 1) {
            String name = rest.substring(colon + 1);
            switch (rest.substring(0, colon)) {
                case "node":
                    return new Selector(Kind.NODE, name, others);
                case "zone":
                    return new Selector(Kind.ZONE, name, others);
                case "region":
                    return new Selector(Kind.REGION, name, others);
                default:
            }
        }
        throw new IllegalArgumentException("'" + text + "' is not *, node:NAME, zone:NAME or region:NAME, with ! before it or not");
    }

    /** Whether it means this party. */
    public boolean matches(Party party) {
        boolean named = switch (kind) {
            case ALL -> true;
            case NODE -> party.name().equals(name);
            case ZONE -> party.zone().equals(name);
            case REGION -> party.region().equals(name);
        };
        return named != others;
    }

    @Override
    public String toString() {
        return kind == Kind.ALL ? "*" : (others ? "!" : "") + kind.name().toLowerCase(Locale.ROOT) + ":" + name;
    }
}
