package edgegateway.policy.api;

/**
 * A request as it comes in.
 *
 * @param deadlineNanos the moment at which the client stops waiting for this try
 * @param units what it takes from the quota, perhaps a guess
 * @param gatewayCount how many gateways this customer comes through
 * @param firstGateway the first of them
 * @param clientRetry whether the client marked it as a repeat
 */
public record Request(
    String id,
    int requestClass,
    int plan,
    long customer,
    long deadlineNanos,
    double units,
    int gatewayCount,
    int firstGateway,
    boolean clientRetry) {}
