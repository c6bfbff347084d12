package edgegateway.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgegateway.node.config.NodeConfigParser;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests requests whose id comes again after their client has left. */
@Timeout(60)
class RepeatedRequestTest extends NodeTest {
  @TempDir Path sharedFolder;

  /** Has a request of this class run and its client leave before the response. */
  private void runWithoutClient(EdgeNode node, FakePeer server, String requestClass)
      throws Exception {
    Socket leaving = client(node);
    sendRequest(leaving, methodAndPath(requestClass), headers("t-1", requestClass, "20000"), "");
    server.next();
    leaving.close();
  }

  private static String methodAndPath(String requestClass) {
    return (requestClass.equals("lookup") ? "GET" : "POST") + " /api";
  }

  private String repeat(EdgeNode node, String requestClass) throws Exception {
    Socket again = client(node);
    sendRequest(again, methodAndPath(requestClass), headers("t-1", requestClass, "20000"), "");
    return status(FakePeer.read(again));
  }

  private void assertRunsOnce(String requestClass) throws Exception {
    CompletableFuture<Void> clientLeft = new CompletableFuture<>();
    FakePeer server = peerAnsweringAfter(clientLeft, "done");
    EdgeNode node = startNode(server);
    runWithoutClient(node, server, requestClass);
    awaitMetric(node, "in_progress", 0);
    clientLeft.complete(null);
    awaitMetric(node, "connections.open", 0);
    assertEquals("409", repeat(node, requestClass));
    assertEquals(0, server.received.size(), "the request ran twice");
  }

  @Test
  void aKeyedRequestWhoseClientLeftRunsOnceThoughItsIdComesAgain() throws Exception {
    assertRunsOnce("order");
  }

  @Test
  void aNonIdempotentRequestWhoseClientLeftRunsOnceThoughItsIdComesAgain() throws Exception {
    assertRunsOnce("strict");
  }

  @Test
  void aRequestThatRanInTheOldProcessDoesNotRunInTheNewOne() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    String config = config(member("s-0", server.address(), "Ready", 0));
    EdgeNode oldNode = startNode(config, sharedFolder);
    oldNode.admit();
    runWithoutClient(oldNode, server, "strict");
    EdgeNode newNode = new EdgeNode(NodeConfigParser.parse(config), sharedFolder);
    toClose.add(newNode);
    newNode.startAsSuccessor();
    assertEquals("409", repeat(newNode, "strict"));
    assertEquals(0, server.received.size(), "the request ran twice");
  }

  @Test
  void aRequestThatRanInTheNewProcessDoesNotRunInTheOldOne() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    String config = config(member("s-0", server.address(), "Ready", 0));
    EdgeNode oldNode = startNode(config, sharedFolder);
    EdgeNode newNode = new EdgeNode(NodeConfigParser.parse(config), sharedFolder);
    toClose.add(newNode);
    newNode.startAsSuccessor();
    runWithoutClient(newNode, server, "order");
    // The old process looks for the file of a new one every 0.2 s.
    oldNode.loop.schedule(() -> {}, 400, TimeUnit.MILLISECONDS).get();
    assertEquals("409", repeat(oldNode, "order"));
    assertEquals(0, server.received.size(), "the request ran twice");
  }

  @Test
  void anIdempotentRequestWhoseClientLeftMayRunAgain() throws Exception {
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    EdgeNode node = startNode(server);
    runWithoutClient(node, server, "lookup");
    awaitMetric(node, "in_progress", 0);
    awaitMetric(node, "connections.open", 0);
    assertEquals("200", repeat(node, "lookup"));
  }

  @Test
  void aFolderThatCannotBeWrittenIsNoFailure() throws Exception {
    Files.createDirectory(sharedFolder.resolve("requests.0"));
    FakePeer server = peer(m -> m.answer(FakePeer.ok("", "done")));
    EdgeNode node = startNode(config(member("s-0", server.address(), "Ready", 0)), sharedFolder);
    runWithoutClient(node, server, "strict");
    assertEquals("409", repeat(node, "strict"));
  }
}
