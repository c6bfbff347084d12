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
 * Reads batches of events from the wire, hands each event to the policy of its node and has the
 * reply to each batch written. The values of each event are listed in {@link SimulatorWire.Events}.
 */
final class WireReader {
  private final BufferedReader in;
  private final WireWriter out;
  private final Map<Integer, GatewayPolicy> policies = new HashMap<>();
  private long lineNumber;

  /** The line read last. */
  private WireLine line = new WireLine(0, "");

  /** Time of the present batch. */
  private long nowNanos;

  WireReader(BufferedReader in, WireWriter out) {
    this.in = in;
    this.out = out;
  }

  /** Runs batches until the input ends. */
  void run() throws IOException, MalformedInputException {
    while (readLine()) {
      if (!line.firstWord().equals(SimulatorWire.BATCH_BEGIN)) {
        throw line.malformed("a batch begins with '" + SimulatorWire.BATCH_BEGIN + "'");
      }
      nowNanos = line.whole(1);
      readEvents();
      out.flush();
    }
  }

  private void readEvents() throws IOException, MalformedInputException {
    while (true) {
      if (!readLine()) {
        throw line.malformed("the input ends inside a batch, after");
      }
      if (line.firstWord().equals(SimulatorWire.BATCH_END)) {
        return;
      }
      event();
    }
  }

  /** Reads the next line; false, and the line stays, if the input has ended. */
  private boolean readLine() throws IOException {
    String read = in.readLine();
    if (read == null) {
      return false;
    }
    lineNumber++;
    line = new WireLine(lineNumber, read);
    return true;
  }

  private void event() throws IOException, MalformedInputException {
    int node = line.integer(1);
    switch (line.firstWord()) {
      case SimulatorWire.Events.NODE_STARTED -> nodeStarted(node);
      case SimulatorWire.Events.NODE_STOPPED -> policies.remove(node);
      case SimulatorWire.Events.ENDPOINTS_UPDATED -> endpointsUpdated(node);
      case SimulatorWire.Events.REQUEST_RECEIVED -> requestReceived(policy(node));
      case SimulatorWire.Events.ATTEMPT_ENDED -> attemptEnded(policy(node));
      case SimulatorWire.Events.CLIENT_DISCONNECTED ->
          policy(node).clientDisconnected(nowNanos, line.text(2));
      case SimulatorWire.Events.STREAM_STARTED ->
          policy(node).streamStarted(nowNanos, line.text(2));
      case SimulatorWire.Events.COUNTER_REPLIED -> counterReplied(policy(node));
      case SimulatorWire.Events.HEALTH_CHECKED -> healthChecked(policy(node));
      case SimulatorWire.Events.TIMER_FIRED -> policy(node).timerFired(nowNanos, line.whole(2));
      case SimulatorWire.Events.PEER_MESSAGE -> policy(node);
      default -> throw line.malformed("unknown event");
    }
  }

  private GatewayPolicy policy(int node) throws MalformedInputException {
    GatewayPolicy policy = policies.get(node);
    if (policy == null) {
      throw line.malformed("instance " + node + " was not started");
    }
    return policy;
  }

  private void nodeStarted(int node) throws MalformedInputException {
    long seed = line.whole(2);
    try {
      policies.put(
          node,
          new GatewayPolicy(
              PolicySettingsReader.read(line.words(), 3), seed, nowNanos, out.actionsOf(node)));
    } catch (IllegalArgumentException e) {
      throw line.malformed("bad settings (" + e.getMessage() + ")");
    }
  }

  private void endpointsUpdated(int node) throws IOException, MalformedInputException {
    GatewayPolicy policy = policy(node);
    EndpointListKind kind = listKind(line.integer(3));
    int count = line.integer(4);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      if (!readLine() || !line.firstWord().equals(SimulatorWire.Events.ENDPOINT)) {
        throw line.malformed("'" + SimulatorWire.Events.ENDPOINT + "' expected");
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
      default -> throw line.malformed("unknown kind of list");
    };
  }

  private Endpoint endpoint() throws MalformedInputException {
    EndpointState state = endpointState(line.integer(3));
    String id = line.text(6);
    double weight = line.number(1);
    int zone = line.integer(2);
    int cell = line.integer(5);
    int machineType = line.integer(7);
    long startedAtNanos = line.whole(4);
    return new Endpoint(id, weight, zone, cell, machineType, state, startedAtNanos);
  }

  private EndpointState endpointState(int state) throws MalformedInputException {
    return switch (state) {
      case SimulatorWire.EndpointStates.REMOVED -> EndpointState.REMOVED;
      case SimulatorWire.EndpointStates.READY -> EndpointState.READY;
      case SimulatorWire.EndpointStates.DRAINING -> EndpointState.DRAINING;
      default -> throw line.malformed("unknown readiness");
    };
  }

  private void requestReceived(GatewayPolicy policy) throws MalformedInputException {
    String id = line.text(2);
    int requestClass = line.integer(3);
    int plan = line.integer(4);
    long customer = line.whole(5);
    long deadlineNanos = line.whole(6);
    double units = line.number(7);
    int nodeCount = line.integer(8);
    int firstNode = line.integer(9);
    boolean clientRetry = (line.whole(10) & SimulatorWire.OPTION_CLIENT_RETRY) != 0;
    policy.requestReceived(
        nowNanos,
        new Request(
            id,
            requestClass,
            plan,
            customer,
            deadlineNanos,
            units,
            nodeCount,
            firstNode,
            clientRetry));
  }

  private void attemptEnded(GatewayPolicy policy) throws MalformedInputException {
    AttemptResult result =
        new AttemptResult(
            line.text(2),
            line.outcome(3),
            line.whole(4),
            line.text(5),
            line.whole(6) != 0,
            line.integer(7),
            line.number(9),
            line.numbers(10));
    policy.attemptEnded(nowNanos, result);
  }

  private void counterReplied(GatewayPolicy policy) throws MalformedInputException {
    policy.counterReplied(nowNanos, line.whole(4), line.outcome(3), line.number(2));
  }

  private void healthChecked(GatewayPolicy policy) throws MalformedInputException {
    policy.healthChecked(nowNanos, line.text(4), line.outcome(3), line.whole(2), line.numbers(5));
  }
}
