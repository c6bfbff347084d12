package edgegateway.node.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.node.connections.BufferedBodies;
import edgegateway.node.connections.ConnectionMetrics;
import edgegateway.node.connections.DescriptorBudget;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** How far a connection is read ahead, and what of that is counted as buffered. */
class PipelinedMessagesTest {
  private static final int CAPACITY_BYTES = 1 << 20;
  private static final int OVERHEAD_BYTES = 128;
  private static final long CUSTOMER = 7;

  private final ConnectionMetrics metrics = new ConnectionMetrics();
  private final BufferedBodies bufferedBodies = new BufferedBodies(metrics);
  private final PipelinedMessages messages = new PipelinedMessages(bufferedBodies);

  private PipelinedMessagesTest() {
    bufferedBodies.applyBudget(new DescriptorBudget(1, 1, 1, 1, 1, CAPACITY_BYTES, 1, List.of()));
  }

  private static HttpContent piece(int bytes) {
    return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private long heldBytes() {
    Map<String, Long> values = new TreeMap<>();
    metrics.forEach(values::put);
    return values.get("held_bytes");
  }

  @Test
  void returnsMessagesInTheirOrder() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
    messages.add(head);
    assertFalse(messages.hasEndOfBody());
    messages.add(LastHttpContent.EMPTY_LAST_CONTENT);
    assertTrue(messages.hasEndOfBody());
    assertSame(head, messages.poll());
    assertSame(LastHttpContent.EMPTY_LAST_CONTENT, messages.poll());
    assertNull(messages.poll());
    assertTrue(messages.isEmpty());
  }

  @Test
  void countsNothingWhileLittleIsQueued() {
    messages.add(piece(4 * 1024 - OVERHEAD_BYTES));
    assertFalse(messages.updateReadAhead(CUSTOMER));
    assertEquals(0, heldBytes());
  }

  @Test
  void countsAllOnceMoreIsQueuedAndNothingWhenItIsHandled() {
    messages.add(piece(4 * 1024));
    assertFalse(messages.updateReadAhead(CUSTOMER), "read on, for there is much capacity");
    assertEquals(4 * 1024 + OVERHEAD_BYTES, heldBytes());
    ReferenceCountUtil.release(messages.poll());
    assertFalse(messages.updateReadAhead(CUSTOMER));
    assertEquals(0, heldBytes());
  }

  @Test
  void countsAHeadWithItsHeaders() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
    head.headers().set("Name", "x".repeat(4 * 1024));
    messages.add(head);
    messages.updateReadAhead(CUSTOMER);
    assertEquals(2 * OVERHEAD_BYTES + "/api".length() + "Name".length() + 4 * 1024, heldBytes());
  }

  @Test
  void readsNoFurtherThanItsLimit() {
    messages.add(piece(128 * 1024 - OVERHEAD_BYTES));
    assertFalse(messages.updateReadAhead(CUSTOMER));
    messages.add(piece(0));
    assertTrue(messages.updateReadAhead(CUSTOMER));
  }

  @Test
  void readsNoFurtherWhileHalfOfTheCapacityIsUsed() {
    bufferedBodies.newBody(8).resize(CAPACITY_BYTES / 2);
    messages.add(piece(1_024));
    assertFalse(messages.updateReadAhead(CUSTOMER), "little is read on in any case");
    messages.add(piece(4 * 1024));
    assertTrue(messages.updateReadAhead(CUSTOMER));
  }

  @Test
  void releasesAllThatIsQueued() {
    HttpContent piece = piece(8 * 1024);
    messages.add(piece);
    messages.updateReadAhead(CUSTOMER);
    messages.release();
    assertEquals(0, piece.refCnt());
    assertEquals(0, heldBytes());
    assertTrue(messages.isEmpty());
  }
}
