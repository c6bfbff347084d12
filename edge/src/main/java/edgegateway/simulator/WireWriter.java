package edgegateway.simulator;

import edgegateway.policy.api.PolicyActions;
import java.io.IOException;
import java.io.Writer;
import java.math.BigDecimal;

/**
 * Collects the actions of all nodes as lines of the wire, in the order in which they were asked
 * for, and writes them as the reply to a batch.
 */
final class WireWriter {
  private static final String ENABLE = "1";

  private final Writer out;
  private final StringBuilder reply = new StringBuilder();

  WireWriter(Writer out) {
    this.out = out;
  }

  /** The actions of one node. */
  PolicyActions actionsOf(int node) {
    return new NodeActions(node);
  }

  /** Writes and ends the reply to a batch. */
  void flush() throws IOException {
    reply.append(SimulatorWire.REPLY_END).append('\n');
    out.append(reply);
    out.flush();
    reply.setLength(0);
  }

  private final class NodeActions implements PolicyActions {
    private final int node;

    NodeActions(int node) {
      this.node = node;
    }

    private void line(String action, Object... values) {
      reply.append(action).append(SimulatorWire.SEPARATOR).append(node);
      for (Object value : values) {
        reply.append(SimulatorWire.SEPARATOR).append(value);
      }
      reply.append('\n');
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {
      line(SimulatorWire.Actions.SEND_ATTEMPT, requestId, endpointId, timeoutNanos);
    }

    @Override
    public void reject(String requestId, long retryAfterNanos) {
      line(SimulatorWire.Actions.REJECT, requestId, retryAfterNanos);
    }

    @Override
    public void fail(String requestId) {
      line(SimulatorWire.Actions.FAIL, requestId);
    }

    @Override
    public void healthCheck(String endpointId) {
      line(SimulatorWire.Actions.HEALTH_CHECK, endpointId);
    }

    @Override
    public void addToCounter(long key, double amount, long lifetimeNanos) {
      line(SimulatorWire.Actions.ADD_TO_COUNTER, lifetimeNanos, decimal(amount), key);
    }

    @Override
    public void scheduleTimer(long token, long delayNanos) {
      line(SimulatorWire.Actions.SCHEDULE_TIMER, token, delayNanos);
    }

    @Override
    public void subscribeToEndpoints() {
      line(SimulatorWire.Actions.SUBSCRIBE_TO_ENDPOINTS, ENABLE);
    }

    @Override
    public void log(String message) {
      line(SimulatorWire.Actions.LOG, message);
    }

    /** Without an exponent, and without a fraction where there is none. */
    private static String decimal(double amount) {
      return amount == Math.rint(amount)
          ? Long.toString((long) amount)
          : BigDecimal.valueOf(amount).toPlainString();
    }
  }
}
