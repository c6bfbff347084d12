package edgegateway.node.counter;

import edgegateway.node.config.NodeConfig;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Calls to the shared quota counter, pipelined on a few connections. A name always goes by the same
 * connection, so that the calls of a name are counted, and reported, in their order.
 *
 * <p>All methods are for the event loop's thread.
 */
public final class CounterClient {
  private static final int CONNECTIONS = 4;
  private static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final CounterListener listener;
  private final EventLoop loop;
  private final long timeoutNanos;
  private final Bootstrap bootstrap;

  /** Null where no connection is open or being opened. */
  private final CounterConnection[] connections = new CounterConnection[CONNECTIONS];

  private InetSocketAddress address;

  /** Connects when the first call is made. */
  public CounterClient(CounterListener listener, EventLoop loop, NodeConfig config) {
    this.listener = listener;
    this.loop = loop;
    address = config.counter();
    timeoutNanos = Math.max(MIN_TIMEOUT_NANOS, config.settings().counter().timeoutNanos());
    long connectTimeoutMillis = TimeUnit.NANOSECONDS.toMillis(config.connectTimeoutNanos());
    bootstrap =
        new Bootstrap()
            .group(loop)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutMillis));
  }

  /**
   * Later calls go to another address. Those in flight end here, for the old one replies no more.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    address = newAddress;
    for (CounterConnection connection : connections.clone()) {
      if (connection != null) {
        connection.close();
      }
    }
  }

  /**
   * Adds to a named counter; the outcome is reported later, never from within this call.
   *
   * @param name an unsigned number
   * @param lifetimeNanos how long the counter keeps the name
   */
  public void add(long name, double amount, long lifetimeNanos) {
    int slot = (int) Long.remainderUnsigned(name, CONNECTIONS);
    if (connections[slot] == null) {
      connections[slot] = new CounterConnection(this, loop, timeoutNanos);
      connections[slot].connect(bootstrap, address);
    }
    connections[slot].add(new CounterCall(listener, name, amount, lifetimeNanos));
  }

  /** The next call that would have gone by this connection opens another. */
  void connectionClosed(CounterConnection closed) {
    for (int slot = 0; slot < CONNECTIONS; slot++) {
      if (connections[slot] == closed) {
        connections[slot] = null;
      }
    }
  }
}
