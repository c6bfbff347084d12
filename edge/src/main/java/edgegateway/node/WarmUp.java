package edgegateway.node;

import edgegateway.node.config.NodeConfig;
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
 * requests are made up and go through an edge node of their own, on connections in memory: nothing
 * listens, connects or leaves the process.
 */
public final class WarmUp {
  /** Code is compiled after some 200 runs, and not all of it is run for each request. */
  private static final int REQUESTS = 2_000;

  private static final int ROUND = 20;

  private static final String BODY = "x".repeat(512);

  /** On a small part of a core all of them take too long for a node that others are waiting for. */
  private static final long MOST = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final NodeConfig config;
  private final EdgeNode node;
  private final List<EmbeddedChannel> servers = new ArrayList<>();
  private EmbeddedChannel client;
  private boolean open;
  private int sent;
  private int served;

  private WarmUp(NodeConfig config, EdgeNode node) {
    this.config = config;
    this.node = node;
  }

  /**
   * Returns when the requests are through or have taken their longest; says how many were served.
   */
  public static int run(NodeConfig real) throws Exception {
    long began = System.nanoTime();
    if (real.known().entries().isEmpty()) {
      return 0;
    }
    NodeConfig config = alone(real);
    try (EdgeNode node = new EdgeNode(config, null)) {
      WarmUp warmUp = new WarmUp(config, node);
      node.startPolicy();
      node.loop.submit(warmUp::connect).get();
      // A round at a time: the module's timers run in between, as they do in service.
      while (warmUp.sent < REQUESTS && System.nanoTime() - began < MOST) {
        node.loop.submit(warmUp::round).get();
      }
      System.out.println(
          "warmed up by "
              + warmUp.sent
              + " requests in "
              + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)
              + " ms");
      return warmUp.served;
    }
  }

  /**
   * The same settings with no counter, and a list in which every server is ready and leads nowhere.
   */
  private static NodeConfig alone(NodeConfig real) {
    PolicySettings s = real.settings();
    PolicySettings settings =
        new PolicySettings(
            s.nodeIndex(),
            s.nodeCount(),
            s.localZone(),
            s.tickNanos(),
            s.endpointWeightsUsed(),
            s.loadReportNames(),
            s.requestClasses(),
            s.quotaPlans(),
            s.limits(),
            new CounterSettings(
                false,
                s.counter().timeoutNanos(),
                s.counter().reportsTrueUnits(),
                s.counter().maxRequestUnits()),
            s.rules());
    List<EndpointEntry> members =
        real.known().entries().stream()
            .map(EndpointEntry::endpoint)
            .map(
                e ->
                    new Endpoint(
                        e.id(),
                        e.weight(),
                        e.zone(),
                        e.cell(),
                        e.machineType(),
                        EndpointState.READY,
                        0))
            .map(e -> new EndpointEntry(e, real.listen()))
            .toList();
    return new NodeConfig(
        real.listen(),
        real.discovery(),
        null,
        null,
        real.seed(),
        real.sockets(),
        real.connections(),
        null,
        null,
        new EndpointList(0, true, members),
        real.connectTimeout(),
        real.keepAlive(),
        real.names(),
        settings);
  }

  private void connect() {
    client = new EmbeddedChannel(node.clients.handlers());
    for (EndpointEntry member : config.known().entries()) {
      EmbeddedChannel server = new EmbeddedChannel(node.upstreamPool.handlers());
      node.upstreamPool.adopt(member.endpoint().id(), server);
      servers.add(server);
    }
  }

  /** Some requests, each answered before the next, so that the connections that there are do. */
  private void round() {
    for (int i = 0; i < ROUND; i++) {
      if (!open) {
        open = true;
        client.writeInbound(bytes(request(sent++)));
      }
      for (EmbeddedChannel server : servers) {
        if (!server.outboundMessages().isEmpty()) {
          server.releaseOutbound();
          server.writeInbound(bytes("HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n" + BODY));
          served++;
        }
      }
      open = client.outboundMessages().isEmpty();
      client.releaseOutbound();
    }
  }

  private String request(int i) {
    int at = i % config.names().classes().size();
    RequestClass kind = config.settings().requestClasses().get(at);
    boolean safe = kind.idempotency() == Idempotency.IDEMPOTENT;
    return (safe ? "GET" : "POST")
        + " /api HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: warm-up-"
        + i
        + "\r\nX-Qos: "
        + config.names().classes().get(at)
        + "\r\nX-Plan: "
        + config.names().plans().get(i / 2 % config.names().plans().size())
        + "\r\nCookie: customer=00000000000000"
        + (10 + i % 90)
        + "\r\nX-Expires-In-Ms: "
        + TimeUnit.NANOSECONDS.toMillis(kind.deadlineNanos())
        + "\r\nX-Quota: units=1,spread="
        + config.settings().nodeCount()
        + ",first=0"
        + (safe ? "" : "\r\nIdempotency-Key: warm-up-" + i + "\r\nContent-Length: 512")
        + "\r\n\r\n"
        + (safe ? "" : BODY);
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }
}
