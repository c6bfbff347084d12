package edgegateway.node.discovery;

import static edgegateway.node.logging.EventLog.field;

import edgegateway.node.logging.EventLog;
import edgegateway.protocol.EndpointList;
import edgegateway.protocol.EndpointListParser;
import edgegateway.protocol.InvalidFieldException;
import edgegateway.protocol.SettingNames;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;

/**
 * Last handler in the pipeline of a watch's connection. Sends the request and turns the response
 * into events. The body of the response consists of JSON objects, with an empty line every 2 s as a
 * keep-alive. Closes the connection when the response ends, is an error or is malformed.
 */
final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
  private static final EventLog LOG = EventLog.console();

  private final WatchScheduler.Watch watch;
  private final InetSocketAddress address;
  private final SettingNames names;
  private final WatchEventListener listener;
  private final JsonObjectSplitter objects =
      new JsonObjectSplitter(
          DiscoveryProtocol.MAX_OBJECT_BYTES, this::objectReceived, this::emptyLineReceived);
  private boolean ended;

  WatchHandler(
      WatchScheduler.Watch watch,
      InetSocketAddress address,
      SettingNames names,
      WatchEventListener listener) {
    this.watch = watch;
    this.address = address;
    this.names = names;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, DiscoveryProtocol.watchUri(listener.revision()));
    request.headers().set(HttpHeaderNames.HOST, DiscoveryProtocol.HOST);
    context.writeAndFlush(request);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    // After a close, the remaining parts of the same read still arrive. They are dropped, because
    // the body of an error response is not an endpoint list.
    ended |= !watch.isOpen() || part.decoderResult().isFailure() || isErrorResponse(part);
    if (!ended) {
      listener.bytesReceived(watch);
      if (part instanceof HttpContent content) {
        objects.append(ByteBufUtil.getBytes(content.content()));
      }
    }
    if (ended || part instanceof LastHttpContent) {
      context.close();
    }
  }

  private static boolean isErrorResponse(HttpObject part) {
    return part instanceof HttpResponse response
        && response.status().code() != DiscoveryProtocol.OK;
  }

  private void emptyLineReceived() {
    listener.keepAliveReceived(watch);
  }

  private void objectReceived(String text) {
    EndpointList list;
    try {
      list = EndpointListParser.parse(text, names);
    } catch (InvalidFieldException e) {
      throw new DiscoveryException(address, e.getMessage(), e);
    }
    listener.listReceived(watch, list);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.warn("discovery_watch_failed", field("address", address), field("error", cause));
    context.close();
  }
}
