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

/** Tests how far a connection is read ahead and how much of the queue counts as buffered. */
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

  private static HttpContent chunk(int bytes) {
    return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private long bufferedBytes() {
    Map<String, Long> values = new TreeMap<>();
    metrics.forEach(values::put);
    return values.get("held_bytes");
  }

  @Test
  void returnsMessagesInTheOrderOfArrival() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
    messages.add(head, 0);
    assertFalse(messages.hasEndOfBody());
    messages.add(LastHttpContent.EMPTY_LAST_CONTENT, 0);
    assertTrue(messages.hasEndOfBody());
    assertSame(head, messages.poll());
    assertSame(LastHttpContent.EMPTY_LAST_CONTENT, messages.poll());
    assertNull(messages.poll());
    assertTrue(messages.isEmpty());
  }

  @Test
  void countsNothingUpToTheThreshold() {
    messages.add(chunk(4 * 1024 - OVERHEAD_BYTES), 0);
    assertFalse(messages.updateAndCheckReadAheadFull(CUSTOMER));
    assertEquals(0, bufferedBytes());
  }

  @Test
  void countsAllBytesAboveTheThresholdAndNoneOnceTheQueueIsEmpty() {
    messages.add(chunk(4 * 1024), 0);
    assertFalse(
        messages.updateAndCheckReadAheadFull(CUSTOMER),
        "reading continues while more than half of the capacity is free");
    assertEquals(4 * 1024 + OVERHEAD_BYTES, bufferedBytes());
    ReferenceCountUtil.release(messages.poll());
    assertFalse(messages.updateAndCheckReadAheadFull(CUSTOMER));
    assertEquals(0, bufferedBytes());
  }

  @Test
  void countsTheHeadersOfAHead() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
    head.headers().set("Name", "x".repeat(4 * 1024));
    messages.add(head, 0);
    messages.updateAndCheckReadAheadFull(CUSTOMER);
    assertEquals(
        2 * OVERHEAD_BYTES + "/api".length() + "Name".length() + 4 * 1024, bufferedBytes());
  }

  @Test
  void stopsReadingAboveTheReadAheadLimit() {
    messages.add(chunk(128 * 1024 - OVERHEAD_BYTES), 0);
    assertFalse(messages.updateAndCheckReadAheadFull(CUSTOMER));
    messages.add(chunk(0), 0);
    assertTrue(messages.updateAndCheckReadAheadFull(CUSTOMER));
  }

  @Test
  void stopsReadingWhileHalfOfTheCapacityIsUsed() {
    bufferedBodies.newBody(8).resize(CAPACITY_BYTES / 2);
    messages.add(chunk(1_024), 0);
    assertFalse(
        messages.updateAndCheckReadAheadFull(CUSTOMER),
        "a queue below the counting threshold never stops reading");
    messages.add(chunk(4 * 1024), 0);
    assertTrue(messages.updateAndCheckReadAheadFull(CUSTOMER));
  }

  @Test
  void releasesAllQueuedMessages() {
    HttpContent chunk = chunk(8 * 1024);
    messages.add(chunk, 0);
    messages.updateAndCheckReadAheadFull(CUSTOMER);
    messages.release();
    assertEquals(0, chunk.refCnt());
    assertEquals(0, bufferedBytes());
    assertTrue(messages.isEmpty());
  }
}
