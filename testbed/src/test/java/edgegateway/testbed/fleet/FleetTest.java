package edgegateway.testbed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.testbed.fakes.FakeArchiveServer;
import edgegateway.testbed.fakes.FakeArchiveServerSettings;
import edgegateway.testbed.fakes.FakeCounterSettings;
import edgegateway.testbed.fakes.http.ArchiveServerHttpFake;
import edgegateway.testbed.network.LinkConditions;
import edgegateway.testbed.network.NetworkPeer;
import edgegateway.testbed.network.PeerSelector;
import edgegateway.testbed.processes.DeployFile;
import edgegateway.testbed.processes.NodeProcess.Signal;
import edgegateway.testbed.workload.CustomerPlan;
import edgegateway.testbed.workload.WorkloadClass;
import java.io.IOException;
import java.net.ConnectException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three processes of the program among stand-ins, with faults between them. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final List<WorkloadClass> CLASSES =
      List.of(
          new WorkloadClass("search", 0.63, false, 2 * SECOND, 6 * SECOND, 5 * MS, 1),
          new WorkloadClass("license", 0.37, true, 2 * SECOND, 6 * SECOND, 5 * MS, 1));
  private static final List<CustomerPlan> PLANS =
      List.of(
          new CustomerPlan("basico", 20, 2, 20, 1, 0, 0.4, 3),
          new CustomerPlan("profesional", 10, 4, 20, 1, 2, 0.4, 3),
          new CustomerPlan("editorial", 3, 20, 20, 1, 0, 0.4, 2));
  private static final int DEADLINE_MS = 6_000;
  @TempDir Path folder;
  private final Topology topology = Topology.even(List.of("a", "b"), 3, 6);

  /** Which server served a request. */
  private final Map<String, NetworkPeer> served = new ConcurrentHashMap<>();

  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private Fleet fleet;
  private int asked;

  private ArchiveServerHttpFake.History history(NetworkPeer server) {
    return new ArchiveServerHttpFake.History() {
      @Override
      public void arrived(long at, String id, String key) {
        arrived.add(id + " at " + server.name());
      }

      @Override
      public void ended(long at, String id, FakeArchiveServer.Completion how) {
        if (how != FakeArchiveServer.Completion.REJECTED) {
          served.put(id, server);
        }
      }
    };
  }

  @BeforeEach
  void start() throws Exception {
    fleet =
        new Fleet(
            topology,
            DeployFile.read(Path.of("..").toRealPath()),
            folder,
            new Fleet.Settings(
                new FakeArchiveServerSettings(
                    4, 16, 50, 0.24, 17 * SECOND, 2.5, 1_500 * MS, 6 * SECOND),
                new FakeCounterSettings(2, MS, 500),
                new WorkloadSettings(CLASSES, PLANS, 6 * SECOND, null),
                id -> 5 * MS),
            this::history,
            1);
    fleet.start(topology.nodes());
    for (NetworkPeer node : topology.nodes()) {
      ready(node);
    }
  }

  @AfterEach
  void close() throws IOException {
    fleet.close();
  }

  private HttpURLConnection to(NetworkPeer node, String path) throws IOException {
    InetSocketAddress at = fleet.door(node);
    HttpURLConnection call =
        (HttpURLConnection)
            URI.create("http://127.0.0.1:" + at.getPort() + path).toURL().openConnection();
    call.setReadTimeout(DEADLINE_MS + 1_000);
    return call;
  }

  private void ready(NetworkPeer node) throws Exception {
    while (!fleet.healthy(node)) {
      Thread.sleep(20);
    }
  }

  /** One request of a customer of its own; its id, if it was served, else its status. */
  private String ask(NetworkPeer node) throws IOException {
    String id = "t-" + asked++;
    HttpURLConnection call = to(node, "/api");
    call.setRequestProperty("X-Trace-Id", id);
    call.setRequestProperty("X-Qos", "search");
    call.setRequestProperty("X-Plan", "editorial");
    call.setRequestProperty("Cookie", String.format("customer=%016x", asked));
    call.setRequestProperty("X-Expires-In-Ms", Integer.toString(DEADLINE_MS));
    call.setRequestProperty("X-Quota", "units=1,spread=3,first=0");
    int status = call.getResponseCode();
    if (status != 200) {
      return Integer.toString(status);
    }
    assertEquals(id, new String(call.getInputStream().readAllBytes()));
    return id;
  }

  @Test
  void aCutZoneIsServedAroundAndAKilledNodeComesBack() throws Exception {
    NetworkPeer first = topology.nodes().get(0);
    NetworkPeer other = topology.nodes().get(1);
    for (int i = 0; i < 30; i++) {
      String id = ask(topology.nodes().get(i % 3));
      assertTrue(served.containsKey(id), id + ": " + fleet.log(first));
    }
    // All that stands in b is cut off from whoever does not; n0 stands in a.
    fleet.fault(
        "cut",
        PeerSelector.parse("zone:b"),
        PeerSelector.parse("!zone:b"),
        true,
        LinkConditions.CUT);
    arrived.clear();
    int running = 0;
    for (int i = 0; running < 20; i++) {
      assertTrue(i < 200, "never served: " + fleet.log(first));
      String id = ask(first);
      running = served.containsKey(id) ? running + 1 : 0;
    }
    assertTrue(
        arrived.stream()
            .noneMatch(
                one -> List.of("s1", "s3", "s5").contains(one.substring(one.indexOf("at ") + 3))),
        "a request crossed the cut: " + arrived);
    fleet.clear("cut");
    String again = ask(other);
    assertTrue(served.containsKey(again), again);

    fleet.signal(first, Signal.KILL);
    assertEquals(137, fleet.process(first).ended().get());
    assertThrows(ConnectException.class, () -> ask(first));
    fleet.start(List.of(first));
    ready(first);
    String id = ask(first);
    assertTrue(served.containsKey(id), id);
    fleet.signal(first, Signal.TERM);
    assertEquals(0, fleet.process(first).ended().get(), "it did not drain: " + fleet.log(first));
  }
}
