package edgegateway.node;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.config.NodeConfig;
import edgegateway.node.logging.EventLog;
import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.RequestClass;
import edgegateway.protocol.EndpointEntry;
import edgegateway.protocol.EndpointList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Makes the JVM compile the code that serves requests before the load balancer sends any. On a
 * fraction of a CPU core, compilation takes seconds, during which clients' requests would be
 * answered too late to be of use. The warm-up sends synthetic requests through a separate node on
 * in-memory connections: it neither listens nor connects, and nothing leaves the process.
 */
public final class WarmUp {
  private static final EventLog LOG = EventLog.console();

  /**
   * Several times the number of runs, about 200, after which the JVM compiles code, because each
   * request runs only a part of the code.
   */
  private static final int REQUESTS = 2_000;

  private static final int REQUESTS_PER_ROUND = 20;

  /** The ids of the warm-up's requests begin with this. */
  static final String ID_PREFIX = "warm-up-";

  private static final int BODY_BYTES = 512;
  private static final String BODY = "x".repeat(BODY_BYTES);
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + BODY;

  /** The customers' cookies differ in the last two digits, which begin at 10. */
  private static final int FIRST_CUSTOMER = 10;

  private static final int CUSTOMERS = 90;

  /**
   * Limit for a node with a small fraction of a CPU core. On such a node, sending all {@link
   * #REQUESTS} would take too long, since the load balancer or the old process of an upgrade waits
   * for this node.
   */
  private static final long MAX_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final NodeConfig config;
  private final EdgeNode node;
  private final List<EmbeddedChannel> servers = new ArrayList<>();
  private EmbeddedChannel client;

  /** Whether a request has been sent and not yet answered. */
  private boolean inProgress;

  private int requestsSent;
  private int attemptsAnswered;

  private WarmUp(NodeConfig config, EdgeNode node) {
    this.config = config;
    this.node = node;
  }

  /**
   * Runs the warm-up until all requests are sent or {@link #MAX_DURATION_NANOS} has passed. Must
   * not be called on an event loop's thread.
   *
   * @return number of attempts that an in-memory archive server answered; 0 if no endpoint is known
   */
  public static int run(NodeConfig nodeConfig) throws Exception {
    long startNanos = System.nanoTime();
    if (nodeConfig.knownEndpoints().entries().isEmpty()) {
      return 0;
    }
    NodeConfig config = isolatedConfig(nodeConfig);
    try (EdgeNode node = new EdgeNode(config, null)) {
      WarmUp warmUp = new WarmUp(config, node);
      node.startPolicy();
      node.loop.submit(warmUp::connect).get();
      // In rounds, so that the policy's timers run in between as they do in normal operation.
      while (warmUp.requestsSent < REQUESTS
          && System.nanoTime() - startNanos < MAX_DURATION_NANOS) {
        node.loop.submit(warmUp::runRound).get();
      }
      LOG.info(
          "warmed_up",
          field("requests", warmUp.requestsSent),
          field("duration_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
      return warmUp.attemptsAnswered;
    }
  }

  /** The same settings without shared counter and with endpoints that are never connected to. */
  private static NodeConfig isolatedConfig(NodeConfig nodeConfig) {
    return new NodeConfig(
        nodeConfig.listen(),
        nodeConfig.discovery(),
        null,
        null,
        nodeConfig.seed(),
        nodeConfig.maxDescriptors(),
        nodeConfig.memoryBytes(),
        nodeConfig.connections(),
        null,
        null,
        new EndpointList(0, true, readyEntries(nodeConfig)),
        nodeConfig.connectTimeoutNanos(),
        nodeConfig.keepAliveNanos(),
        nodeConfig.names(),
        withoutCounter(nodeConfig.settings()));
  }

  private static PolicySettings withoutCounter(PolicySettings settings) {
    CounterSettings counter = settings.counter();
    return new PolicySettings(
        settings.nodeIndex(),
        settings.nodeCount(),
        settings.localZone(),
        settings.tickNanos(),
        settings.endpointWeightsUsed(),
        settings.loadReportNames(),
        settings.requestClasses(),
        settings.quotaPlans(),
        settings.limits(),
        new CounterSettings(
            false, counter.timeoutNanos(), counter.reportsActualUnits(), counter.maxRequestUnits()),
        settings.rules());
  }

  /**
   * Returns all known endpoints as ready and past their slow start. Their addresses are replaced by
   * this node's listen address, which is never connected to: each endpoint gets an in-memory
   * connection instead.
   */
  private static List<EndpointEntry> readyEntries(NodeConfig nodeConfig) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (EndpointEntry entry : nodeConfig.knownEndpoints().entries()) {
      Endpoint endpoint = entry.endpoint();
      Endpoint ready =
          new Endpoint(
              endpoint.id(),
              endpoint.weight(),
              endpoint.zone(),
              endpoint.cell(),
              endpoint.machineType(),
              EndpointState.READY,
              0);
      entries.add(new EndpointEntry(ready, nodeConfig.listen()));
    }
    return entries;
  }

  private void connect() {
    client = new EmbeddedChannel(node.clients.newHandlers());
    for (EndpointEntry entry : config.knownEndpoints().entries()) {
      EmbeddedChannel server = new EmbeddedChannel(node.upstreamPool.handlers());
      node.upstreamPool.adopt(entry.endpoint().id(), server);
      servers.add(server);
    }
  }

  /** Sends requests one after the other, so that no connection beyond the open ones is needed. */
  private void runRound() {
    for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
      if (!inProgress) {
        inProgress = true;
        client.writeInbound(toBuffer(request(requestsSent++)));
      }
      for (EmbeddedChannel server : servers) {
        if (!server.outboundMessages().isEmpty()) {
          server.releaseOutbound();
          server.writeInbound(toBuffer(RESPONSE));
          attemptsAnswered++;
        }
      }
      inProgress = client.outboundMessages().isEmpty();
      client.releaseOutbound();
    }
  }

  /**
   * Returns a request as it is received from a client. The request class changes with each number
   * and the plan with every second one, so that two classes are combined with all plans.
   */
  private String request(int number) {
    int classIndex = number % config.names().requestClasses().size();
    RequestClass classSettings = config.settings().requestClasses().get(classIndex);
    List<String> plans = config.names().quotaPlans();
    boolean idempotent = classSettings.idempotency() == Idempotency.IDEMPOTENT;
    String id = ID_PREFIX + number;
    return (idempotent ? "GET" : "POST")
        + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
        + id
        + "\r\nX-Qos: "
        + config.names().requestClasses().get(classIndex)
        + "\r\nX-Plan: "
        + plans.get(number / 2 % plans.size())
        + "\r\nCookie: customer=00000000000000"
        + (FIRST_CUSTOMER + number % CUSTOMERS)
        + "\r\nX-Expires-In-Ms: "
        + TimeUnit.NANOSECONDS.toMillis(classSettings.clientTimeoutNanos())
        + "\r\nX-Quota: units=1,spread="
        + config.settings().nodeCount()
        + ",first=0"
        + (idempotent
            ? "\r\n\r\n"
            : "\r\nIdempotency-Key: "
                + id
                + "\r\nContent-Length: "
                + BODY_BYTES
                + "\r\n\r\n"
                + BODY);
  }

  private static ByteBuf toBuffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
