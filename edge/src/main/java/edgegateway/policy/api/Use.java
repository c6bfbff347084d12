package edgegateway.policy.api;

/**
 * What a gateway knows of a customer's use; the fields are those of the module.
 *
 * @param ceiling what the receiver may send on under the ceiling, at once
 */
public record Use(
    long customer,
    int plan,
    int gateways,
    long window,
    double mine,
    double others,
    double store,
    double othersRate,
    double foreseen,
    double unpushed,
    double ceiling,
    long heard) {}
