package edgegateway.simulator;

import edgegateway.policy.api.PolicyActions;
import java.io.IOException;
import java.io.Writer;
import java.math.BigDecimal;

/**
 * Collects the actions of all nodes as lines of the simulator's protocol, in the order of the
 * calls, and writes them as the reply to a batch.
 */
final class WireWriter {
  private static final String ENABLE = "1";

  private final Writer out;
  private final StringBuilder reply = new StringBuilder();

  WireWriter(Writer out) {
    this.out = out;
  }

  /** Returns the actions of one node, which are added to the current reply. */
  PolicyActions actionsOf(int node) {
    return new NodeActions(node);
  }

  /** Writes the reply to a batch, with its end, and starts the next reply. */
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

    private void appendLine(String keyword, Object... values) {
      reply.append(keyword).append(SimulatorWire.SEPARATOR).append(node);
      for (Object value : values) {
        reply.append(SimulatorWire.SEPARATOR).append(value);
      }
      reply.append('\n');
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutNanos) {
      appendLine(SimulatorWire.Actions.SEND_ATTEMPT, requestId, endpointId, timeoutNanos);
    }

    @Override
    public void reject(String requestId, long retryAfterNanos) {
      appendLine(SimulatorWire.Actions.REJECT, requestId, retryAfterNanos);
    }

    @Override
    public void fail(String requestId) {
      appendLine(SimulatorWire.Actions.FAIL, requestId);
    }

    @Override
    public void healthCheck(String endpointId) {
      appendLine(SimulatorWire.Actions.HEALTH_CHECK, endpointId);
    }

    @Override
    public void addToCounter(long key, double amount, long lifetimeNanos) {
      appendLine(SimulatorWire.Actions.ADD_TO_COUNTER, lifetimeNanos, format(amount), key);
    }

    @Override
    public void scheduleTimer(long token, long delayNanos) {
      appendLine(SimulatorWire.Actions.SCHEDULE_TIMER, token, delayNanos);
    }

    @Override
    public void subscribeToEndpoints() {
      appendLine(SimulatorWire.Actions.SUBSCRIBE_TO_ENDPOINTS, ENABLE);
    }

    @Override
    public void log(String message) {
      appendLine(SimulatorWire.Actions.LOG, message);
    }

    /** Formats a number without an exponent, and an integer without a decimal point. */
    private static String format(double amount) {
      return amount == Math.rint(amount)
          ? Long.toString((long) amount)
          : BigDecimal.valueOf(amount).toPlainString();
    }
  }
}
