package edgegateway.protocol;

import java.util.List;

/**
 * The names of the objects to which the settings refer by index; each name is at its object's
 * index.
 *
 * @param requestClasses names of the request classes
 * @param quotaPlans names of the quota plans
 * @param zones names of the zones; empty if the settings name none
 * @param machineTypes names of the machine types; empty if the settings name none
 */
public record SettingNames(
    List<String> requestClasses,
    List<String> quotaPlans,
    List<String> zones,
    List<String> machineTypes) {}
