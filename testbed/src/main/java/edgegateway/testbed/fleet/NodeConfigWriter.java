package edgegateway.testbed.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import edgegateway.testbed.fakes.DiscoveryMessage;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.workload.CustomerPlan;
import edgegateway.testbed.workload.WorkloadClass;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * The configuration of one edge node (deployment page), written from the topology and one set of
 * settings.
 */
public final class NodeConfigWriter {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SOCKETS = 1_024;

  /** Operators call at any port; the log says which. */
  private static final String OPS = "127.0.0.1:0";

  private NodeConfigWriter() {}

  /** What one node is told of the site: the object {@code settings} of its configuration. */
  public static ObjectNode settings(Topology of, WorkloadSettings load, NetworkPeer node)
      throws IOException {
    ObjectNode settings;
    try (InputStream in = NodeConfigWriter.class.getResourceAsStream("settings.json")) {
      settings = (ObjectNode) JSON.readTree(in);
    }
    settings
        .put("my-number", of.nodes().indexOf(node))
        .put("siblings", of.nodes().size())
        .put("my-zone", of.zones().indexOf(node.zone()));
    ArrayNode zones = settings.putArray("failure-domains");
    of.zones().forEach(zones::add);
    ArrayNode classes = settings.putArray("classes");
    for (WorkloadClass one : load.classes()) {
      classes
          .addObject()
          .put("name", one.name())
          .put("aim-ns", one.latencyObjectiveNanos())
          .put("deadline-ns", one.deadlineNanos())
          .put("idempotency", one.hasIdempotencyKey() ? "dedup" : "retryable")
          .put("group", "all")
          .put("key-ttl-ns", load.keyLife())
          .put("late-value", 0)
          .put("worth", one.priorityWeight());
    }
    ArrayNode plans = settings.putArray("tariffs");
    for (CustomerPlan one : load.plans()) {
      ObjectNode plan =
          plans
              .addObject()
              .put("name", one.name())
              .put("units-per-s", one.rate())
              .put("peak-units", one.burst())
              .put("price", one.price())
              .put("beyond-earns", 0)
              .put("beyond-costs", 1);
      if (one.ceiling() > 0) {
        plan.put("hard-rate", one.ceiling() * one.rate())
            .put("hard-burst", one.ceiling() * one.burst())
            .put("hard-slack", load.slack(one));
      }
    }
    return settings;
  }

  /** The whole file of one node. */
  public static String text(
      Topology of,
      WorkloadSettings load,
      NetworkPeer node,
      InetSocketAddress listen,
      InetSocketAddress discovery,
      InetSocketAddress counter,
      DiscoveryMessage known,
      long seed)
      throws IOException {
    ObjectNode root = JSON.createObjectNode();
    root.put("name", node.name())
        .put("listen", text(listen))
        .put("discovery", text(discovery))
        .put("counter", text(counter))
        .put("ops", OPS)
        .put("seed", Long.toHexString(seed));
    root.putObject("limits").put("sockets", SOCKETS);
    root.set("known", JSON.readTree(known.json()));
    root.set("settings", settings(of, load, node));
    if (load.zones() != null) {
      root.putObject("zones")
          .put("verdicts", load.zones().decisionMode().name().toLowerCase(Locale.ROOT));
    }
    return JSON.writeValueAsString(root);
  }

  /** As configurations and lists have it. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
