package edgegateway.policy;

import edgegateway.policy.api.PolicyActions;
import java.util.ArrayList;
import java.util.List;

/**
 * Records the log lines and the counter calls of a single mechanism under test; all other actions
 * are ignored.
 */
public final class RecordedActions implements PolicyActions {
  /** The log lines, in the order in which they were written. */
  public final List<String> logs = new ArrayList<>();

  /** The key of each call to the shared counter, in order. */
  public final List<Long> counterKeys = new ArrayList<>();

  @Override
  public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {}

  @Override
  public void reject(String requestId, long retryAfterNanos) {}

  @Override
  public void fail(String requestId) {}

  @Override
  public void healthCheck(String endpointId) {}

  @Override
  public void addToCounter(long key, double amount, long lifetimeNanos) {
    counterKeys.add(key);
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String message) {
    logs.add(message);
  }
}
