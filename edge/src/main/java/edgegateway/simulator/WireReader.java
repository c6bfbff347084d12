package edgegateway.simulator;

import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.AttemptResult;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Request;
import edgegateway.protocol.PolicySettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads batches of events from the simulator, passes each event to the policy of its node and lets
 * a {@link WireWriter} reply to each batch. {@link SimulatorWire.Events} lists the values of each
 * event by position.
 */
final class WireReader {
  private final BufferedReader in;
  private final WireWriter out;
  private final Map<Integer, GatewayPolicy> policies = new HashMap<>();
  private long lineNumber;

  /** The last line that was read. */
  private WireLine line = new WireLine(0, "");

  /** Time of the current batch. */
  private long nowNanos;

  WireReader(BufferedReader in, WireWriter out) {
    this.in = in;
    this.out = out;
  }

  /** Processes batches until the input ends. */
  void run() throws IOException, MalformedInputException {
    while (readLine()) {
      if (!line.keyword().equals(SimulatorWire.BATCH_BEGIN)) {
        throw line.malformed(
            "expected '" + SimulatorWire.BATCH_BEGIN + "' at the start of a batch");
      }
      nowNanos = line.longAt(1);
      readEvents();
      out.flush();
    }
  }

  private void readEvents() throws IOException, MalformedInputException {
    while (true) {
      if (!readLine()) {
        throw line.malformed("the input ended inside a batch after this line");
      }
      if (line.keyword().equals(SimulatorWire.BATCH_END)) {
        return;
      }
      processEvent();
    }
  }

  /** Reads the next line into {@link #line}; false, and no change, if the input has ended. */
  private boolean readLine() throws IOException {
    String text = in.readLine();
    if (text == null) {
      return false;
    }
    lineNumber++;
    line = new WireLine(lineNumber, text);
    return true;
  }

  private void processEvent() throws IOException, MalformedInputException {
    int node = line.intAt(1);
    switch (line.keyword()) {
      case SimulatorWire.Events.NODE_STARTED -> nodeStarted(node);
      case SimulatorWire.Events.NODE_STOPPED -> policies.remove(node);
      case SimulatorWire.Events.ENDPOINTS_UPDATED -> endpointsUpdated(node);
      case SimulatorWire.Events.REQUEST_RECEIVED -> requestReceived(policy(node));
      case SimulatorWire.Events.ATTEMPT_ENDED -> attemptEnded(policy(node));
      case SimulatorWire.Events.CLIENT_DISCONNECTED ->
          policy(node).clientDisconnected(nowNanos, line.textAt(2));
      case SimulatorWire.Events.STREAM_STARTED ->
          policy(node).streamStarted(nowNanos, line.textAt(2));
      case SimulatorWire.Events.COUNTER_REPLIED -> counterReplied(policy(node));
      case SimulatorWire.Events.HEALTH_CHECKED -> healthChecked(policy(node));
      case SimulatorWire.Events.TIMER_FIRED -> policy(node).timerFired(nowNanos, line.longAt(2));
      case SimulatorWire.Events.PEER_MESSAGE -> policy(node);
      default -> throw line.malformed("unknown event");
    }
  }

  private GatewayPolicy policy(int node) throws MalformedInputException {
    GatewayPolicy policy = policies.get(node);
    if (policy == null) {
      throw line.malformed("node " + node + " is not running");
    }
    return policy;
  }

  private void nodeStarted(int node) throws MalformedInputException {
    long seed = line.longAt(2);
    try {
      policies.put(
          node,
          new GatewayPolicy(
              PolicySettingsReader.read(line.fields(), 3), seed, nowNanos, out.actionsOf(node)));
    } catch (IllegalArgumentException e) {
      throw line.malformed("invalid settings (" + e.getMessage() + ")");
    }
  }

  private void endpointsUpdated(int node) throws IOException, MalformedInputException {
    GatewayPolicy policy = policy(node);
    EndpointListKind kind = listKind(line.intAt(3));
    int count = line.intAt(4);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      if (!readLine() || !line.keyword().equals(SimulatorWire.Events.ENDPOINT)) {
        throw line.malformed("expected '" + SimulatorWire.Events.ENDPOINT + "'");
      }
      endpoints.add(endpoint());
    }
    policy.endpointsUpdated(nowNanos, kind, endpoints);
  }

  private EndpointListKind listKind(int kind) throws MalformedInputException {
    return switch (kind) {
      case SimulatorWire.ListKinds.FULL -> EndpointListKind.FULL;
      case SimulatorWire.ListKinds.CACHED -> EndpointListKind.CACHED;
      case SimulatorWire.ListKinds.DELTA -> EndpointListKind.DELTA;
      case SimulatorWire.ListKinds.FAILED -> EndpointListKind.FAILED;
      default -> throw line.malformed("unknown endpoint list kind");
    };
  }

  private Endpoint endpoint() throws MalformedInputException {
    EndpointState state = endpointState(line.intAt(3));
    String id = line.textAt(6);
    double weight = line.doubleAt(1);
    int zone = line.intAt(2);
    int cell = line.intAt(5);
    int machineType = line.intAt(7);
    long startedAtNanos = line.longAt(4);
    return new Endpoint(id, weight, zone, cell, machineType, state, startedAtNanos);
  }

  private EndpointState endpointState(int state) throws MalformedInputException {
    return switch (state) {
      case SimulatorWire.EndpointStates.REMOVED -> EndpointState.REMOVED;
      case SimulatorWire.EndpointStates.READY -> EndpointState.READY;
      case SimulatorWire.EndpointStates.DRAINING -> EndpointState.DRAINING;
      default -> throw line.malformed("unknown endpoint state");
    };
  }

  private void requestReceived(GatewayPolicy policy) throws MalformedInputException {
    String id = line.textAt(2);
    int requestClass = line.intAt(3);
    int plan = line.intAt(4);
    long customer = line.longAt(5);
    long deadlineNanos = line.longAt(6);
    double units = line.doubleAt(7);
    int customerNodeCount = line.intAt(8);
    int firstCustomerNode = line.intAt(9);
    boolean clientRetry = (line.longAt(10) & SimulatorWire.OPTION_CLIENT_RETRY) != 0;
    policy.requestReceived(
        nowNanos,
        new Request(
            id,
            requestClass,
            plan,
            customer,
            deadlineNanos,
            units,
            customerNodeCount,
            firstCustomerNode,
            clientRetry));
  }

  private void attemptEnded(GatewayPolicy policy) throws MalformedInputException {
    AttemptResult result =
        new AttemptResult(
            line.textAt(2),
            line.outcomeAt(3),
            line.longAt(4),
            line.textAt(5),
            line.longAt(6) != 0,
            line.intAt(7),
            line.doubleAt(9),
            line.doublesAt(10));
    policy.attemptEnded(nowNanos, result);
  }

  private void counterReplied(GatewayPolicy policy) throws MalformedInputException {
    policy.counterReplied(nowNanos, line.longAt(4), line.outcomeAt(3), line.doubleAt(2));
  }

  private void healthChecked(GatewayPolicy policy) throws MalformedInputException {
    policy.healthChecked(
        nowNanos, line.textAt(4), line.outcomeAt(3), line.longAt(2), line.doublesAt(5));
  }
}
