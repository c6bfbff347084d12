package thistlefall.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import thistlefall.lab.net.Party;
import thistlefall.lab.stand.Roll;

/** The configuration of one edge node (deployment page), written from the topology and one set of settings. */
final class NodeConfig {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SOCKETS = 1_024;

    private NodeConfig() {
    }

    static String text(Topology of, Party node, InetSocketAddress listen, InetSocketAddress discovery,
                       InetSocketAddress counter, Roll known, long seed) throws IOException {
        ObjectNode settings;
        try (InputStream in = NodeConfig.class.getResourceAsStream("settings.json")) {
            settings = (ObjectNode) JSON.readTree(in);
        }
        settings.put("my-number", of.nodes().indexOf(node)).put("siblings", of.nodes().size())
            .put("my-zone", of.zones().indexOf(node.zone()));
        ArrayNode zones = settings.putArray("failure-domains");
        of.zones().forEach(zones::add);
        ObjectNode root = JSON.createObjectNode();
        root.put("name", node.name()).put("listen", text(listen)).put("discovery", text(discovery))
            .put("counter", text(counter)).put("seed", Long.toHexString(seed));
        root.putObject("limits").put("sockets", SOCKETS);
        root.set("known", JSON.readTree(known.json()));
        root.set("settings", settings);
        return JSON.writeValueAsString(root);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
