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
 * Has the JVM compile what a request passes through before the front sends any. On a part of a core
 * that takes seconds, in which requests would wait longer than their answers are worth. The
 * requests are made up and go through a node of their own, on connections in memory: nothing
 * listens, connects or leaves the process.
 */
public final class WarmUp {
  private static final EventLog LOG = EventLog.console();

  /** Code is compiled after some 200 runs, and not all of it is run for each request. */
  private static final int REQUESTS = 2_000;

  private static final int REQUESTS_PER_ROUND = 20;

  private static final int BODY_BYTES = 512;
  private static final String BODY = "x".repeat(BODY_BYTES);
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + BODY;

  /** Customers differ in the last two digits of their cookie, from 10 on. */
  private static final int FIRST_CUSTOMER = 10;

  private static final int CUSTOMERS = 90;

  /** On a small part of a core all of them take too long for a node that others are waiting for. */
  private static final long MAX_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final NodeConfig config;
  private final EdgeNode node;
  private final List<EmbeddedChannel> servers = new ArrayList<>();
  private EmbeddedChannel client;

  /** Whether a request is sent and not answered. */
  private boolean inProgress;

  private int sent;
  private int served;

  private WarmUp(NodeConfig config, EdgeNode node) {
    this.config = config;
    this.node = node;
  }

  /**
   * Returns when the requests are through or have taken their longest. Not for an event loop's
   * thread.
   *
   * @return how many were served; 0 where no endpoint is known
   */
  public static int run(NodeConfig real) throws Exception {
    long startNanos = System.nanoTime();
    if (real.knownEndpoints().entries().isEmpty()) {
      return 0;
    }
    NodeConfig config = isolated(real);
    try (EdgeNode node = new EdgeNode(config, null)) {
      WarmUp warmUp = new WarmUp(config, node);
      node.startPolicy();
      node.loop.submit(warmUp::connect).get();
      // A round at a time: the policy's timers run in between, as they do in service.
      while (warmUp.sent < REQUESTS && System.nanoTime() - startNanos < MAX_DURATION_NANOS) {
        node.loop.submit(warmUp::round).get();
      }
      LOG.info(
          "warmed_up",
          field("requests", warmUp.sent),
          field("duration_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
      return warmUp.served;
    }
  }

  /** The same settings with no counter, and a list whose endpoints lead nowhere. */
  private static NodeConfig isolated(NodeConfig real) {
    return new NodeConfig(
        real.listen(),
        real.discovery(),
        null,
        null,
        real.seed(),
        real.maxDescriptors(),
        real.connections(),
        null,
        null,
        new EndpointList(0, true, readyEntries(real)),
        real.connectTimeoutNanos(),
        real.keepAliveNanos(),
        real.names(),
        withoutCounter(real.settings()));
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

  /** All endpoints, each ready and started long ago, at the clients' address. */
  private static List<EndpointEntry> readyEntries(NodeConfig real) {
    List<EndpointEntry> entries = new ArrayList<>();
    for (EndpointEntry entry : real.knownEndpoints().entries()) {
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
      entries.add(new EndpointEntry(ready, real.listen()));
    }
    return entries;
  }

  private void connect() {
    client = new EmbeddedChannel(node.clients.newHandlers());
    for (EndpointEntry member : config.knownEndpoints().entries()) {
      EmbeddedChannel server = new EmbeddedChannel(node.upstreamPool.handlers());
      node.upstreamPool.adopt(member.endpoint().id(), server);
      servers.add(server);
    }
  }

  /** Some requests, each answered before the next, so that the open connections do. */
  private void round() {
    for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
      if (!inProgress) {
        inProgress = true;
        client.writeInbound(bytes(request(sent++)));
      }
      for (EmbeddedChannel server : servers) {
        if (!server.outboundMessages().isEmpty()) {
          server.releaseOutbound();
          server.writeInbound(bytes(RESPONSE));
          served++;
        }
      }
      inProgress = client.outboundMessages().isEmpty();
      client.releaseOutbound();
    }
  }

  private String request(int number) {
    int requestClass = number % config.names().requestClasses().size();
    RequestClass terms = config.settings().requestClasses().get(requestClass);
    List<String> plans = config.names().quotaPlans();
    boolean idempotent = terms.idempotency() == Idempotency.IDEMPOTENT;
    String id = "warm-up-" + number;
    return (idempotent ? "GET" : "POST")
        + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
        + id
        + "\r\nX-Qos: "
        + config.names().requestClasses().get(requestClass)
        + "\r\nX-Plan: "
        + plans.get(number / 2 % plans.size())
        + "\r\nCookie: customer=00000000000000"
        + (FIRST_CUSTOMER + number % CUSTOMERS)
        + "\r\nX-Expires-In-Ms: "
        + TimeUnit.NANOSECONDS.toMillis(terms.clientTimeoutNanos())
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

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
