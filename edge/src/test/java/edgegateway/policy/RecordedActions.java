package edgegateway.policy;

import edgegateway.policy.api.PolicyActions;
import java.util.ArrayList;
import java.util.List;

/** Actions that a mechanism asked for, as far as tests of one mechanism look at them. */
public final class RecordedActions implements PolicyActions {
  /** The log lines. */
  public final List<String> logs = new ArrayList<>();

  /** The counts added to. */
  public final List<Long> counters = new ArrayList<>();

  @Override
  public void sendAttempt(String id, String endpoint, long timeoutNanos) {}

  @Override
  public void reject(String id, long retryAfterNanos) {}

  @Override
  public void fail(String id) {}

  @Override
  public void healthCheck(String endpoint) {}

  @Override
  public void addToCounter(long name, double units, long lifetimeNanos) {
    counters.add(name);
  }

  @Override
  public void scheduleTimer(long token, long delayNanos) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(String line) {
    logs.add(line);
  }
}
