package edgegateway.protocol;

import java.util.List;

/**
 * The names that stand for the settings' indices, each at its index.
 *
 * @param classes request classes
 * @param plans quota plans
 * @param zones zones; empty if the settings name none
 * @param kinds machine types; empty if the settings name none
 */
public record SettingNames(
    List<String> classes, List<String> plans, List<String> zones, List<String> kinds) {}
