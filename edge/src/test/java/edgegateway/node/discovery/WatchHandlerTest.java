package edgegateway.node.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.protocol.EndpointList;
import edgegateway.protocol.SettingNames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the request and the events of a watch on an embedded channel, without a socket. */
class WatchHandlerTest implements WatchTransport, WatchEventListener {
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EMPTY_LIST = "{\"revision\":6,\"complete\":true,\"members\":[]}\n";

  private final List<String> events = new ArrayList<>();
  private final WatchScheduler scheduler = new WatchScheduler(this, 1);
  private WatchScheduler.Watch watch;
  private int receivedParts;

  @Override
  public void open(WatchScheduler.Watch newWatch) {
    watch = newWatch;
  }

  @Override
  public void close(WatchScheduler.Watch closed) {}

  @Override
  public long revision() {
    return 5;
  }

  @Override
  public void bytesReceived(WatchScheduler.Watch source) {
    receivedParts++;
  }

  @Override
  public void keepAliveReceived(WatchScheduler.Watch source) {
    events.add("keep-alive");
  }

  @Override
  public void listReceived(WatchScheduler.Watch source, EndpointList list) {
    events.add("list " + list.revision());
  }

  private EmbeddedChannel openChannel() {
    scheduler.start(0, 5);
    SettingNames names = new SettingNames(List.of(), List.of(), List.of(), List.of());
    return new EmbeddedChannel(
        new HttpClientCodec(),
        new WatchHandler(watch, new InetSocketAddress("127.0.0.1", 1), names, this));
  }

  private static void receive(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Test
  void aPartOfAListTellsThatDiscoveryIsAlive() {
    EmbeddedChannel channel = openChannel();
    receive(channel, RESPONSE_HEAD + chunk("{\"revision\":"));
    int partsBefore = receivedParts;
    receive(channel, chunk("6,"));
    assertTrue(receivedParts > partsBefore);
    assertEquals(List.of(), events);
  }

  @Test
  void theRequestNamesTheCurrentRevision() {
    EmbeddedChannel channel = openChannel();
    StringBuilder sent = new StringBuilder();
    for (Object part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      sent.append(((ByteBuf) part).toString(StandardCharsets.US_ASCII));
      ReferenceCountUtil.release(part);
    }
    assertTrue(
        sent.toString().startsWith("GET /catalog/members?watch=1&after=5 HTTP/1.1\r\n"),
        sent.toString());
    assertTrue(sent.toString().contains("host: discovery\r\n"), sent.toString());
  }

  @Test
  void objectsAndEmptyLinesAreReportedAndTheEndOfTheResponseClosesTheChannel() {
    EmbeddedChannel channel = openChannel();
    receive(channel, RESPONSE_HEAD + chunk("\n") + chunk(EMPTY_LIST));
    assertEquals(List.of("keep-alive", "list 6"), events);
    assertTrue(channel.isActive());
    receive(channel, "0\r\n\r\n");
    assertFalse(channel.isActive(), "the channel is open after the response has ended");
  }

  @Test
  void theBodyOfAnErrorResponseIsNotReadAsAList() {
    EmbeddedChannel channel = openChannel();
    String body = EMPTY_LIST;
    receive(channel, "HTTP/1.1 500 No\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    assertEquals(List.of(), events);
    assertFalse(channel.isActive());
  }

  @Test
  void aMalformedObjectClosesTheChannel() {
    for (String text : List.of("x", "{\"revision\":\"no\"}")) {
      EmbeddedChannel channel = openChannel();
      receive(channel, RESPONSE_HEAD + chunk(text));
      assertEquals(List.of(), events, text);
      assertFalse(channel.isActive(), text);
    }
  }

  @Test
  void eventsOfAClosedWatchAreNotReported() {
    EmbeddedChannel channel = openChannel();
    scheduler.watchClosed(0, watch);
    receive(channel, RESPONSE_HEAD + chunk(EMPTY_LIST));
    assertEquals(List.of(), events);
    assertFalse(channel.isActive());
  }
}
