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

/** What the handler makes of discovery's bytes, without a socket. */
class WatchHandlerTest implements WatchTransport, WatchEventListener {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EMPTY_LIST = "{\"revision\":6,\"complete\":true,\"members\":[]}\n";
  private final List<String> events = new ArrayList<>();
  private final WatchScheduler scheduler = new WatchScheduler(this, 1);
  private WatchScheduler.Watch watch;

  @Override
  public void open(WatchScheduler.Watch opened) {
    watch = opened;
  }

  @Override
  public void close(WatchScheduler.Watch closed) {}

  @Override
  public long revision() {
    return 5;
  }

  @Override
  public void keepAliveReceived(WatchScheduler.Watch by) {
    events.add("keep-alive");
  }

  @Override
  public void listReceived(WatchScheduler.Watch by, EndpointList list) {
    events.add("list " + list.revision());
  }

  private EmbeddedChannel opened() {
    scheduler.start(0, 5);
    SettingNames names = new SettingNames(List.of(), List.of(), List.of(), List.of());
    return new EmbeddedChannel(
        new HttpClientCodec(),
        new WatchHandler(watch, new InetSocketAddress("127.0.0.1", 1), names, this));
  }

  private static void read(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Test
  void theRequestAsksForWhatComesAfterTheHeldRevision() {
    EmbeddedChannel channel = opened();
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
  void objectsAndEmptyLinesBecomeEvents() {
    EmbeddedChannel channel = opened();
    read(channel, HEAD + chunk("\n") + chunk(EMPTY_LIST));
    assertEquals(List.of("keep-alive", "list 6"), events);
    assertTrue(channel.isActive());
    read(channel, "0\r\n\r\n");
    assertFalse(channel.isActive(), "the response has ended");
  }

  @Test
  void anErrorResponseIsNoList() {
    EmbeddedChannel channel = opened();
    String body = EMPTY_LIST;
    read(channel, "HTTP/1.1 500 No\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    assertEquals(List.of(), events);
    assertFalse(channel.isActive());
  }

  @Test
  void whatCannotBeReadEndsTheWatch() {
    for (String text : List.of("x", "{\"revision\":\"no\"}")) {
      EmbeddedChannel channel = opened();
      read(channel, HEAD + chunk(text));
      assertEquals(List.of(), events, text);
      assertFalse(channel.isActive(), text);
    }
  }

  @Test
  void nothingOfAClosedWatchIsReported() {
    EmbeddedChannel channel = opened();
    scheduler.watchClosed(0, watch);
    read(channel, HEAD + chunk(EMPTY_LIST));
    assertEquals(List.of(), events);
    assertFalse(channel.isActive());
  }
}
