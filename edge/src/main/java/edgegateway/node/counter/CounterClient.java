package edgegateway.node.counter;

import edgegateway.node.config.NodeConfig;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Client of the shared counter service, which holds named counters. Calls are pipelined on a few
 * connections. All calls to one counter use the same connection, so that they are executed and
 * reported in order.
 *
 * <p>All methods must be called on the event loop.
 */
public final class CounterClient {
  private static final int CONNECTIONS = 4;
  private static final long MIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final CounterListener listener;
  private final EventLoop loop;
  private final long timeoutNanos;
  private final Bootstrap bootstrap;

  /** Null where no connection is open or connecting. */
  private final CounterConnection[] connections = new CounterConnection[CONNECTIONS];

  private InetSocketAddress address;

  /** Opens each connection with the first call that uses it. */
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
   * Sends later calls to a new address. All connections to the old one are closed, which ends their
   * calls.
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
   * Adds an amount to a named counter. The outcome is reported to the listener later, never from
   * within this method.
   *
   * @param counterName an unsigned number
   * @param lifetimeNanos how long the counter service keeps this counter
   */
  public void add(long counterName, double amount, long lifetimeNanos) {
    int slot = (int) Long.remainderUnsigned(counterName, CONNECTIONS);
    if (connections[slot] == null) {
      connections[slot] = new CounterConnection(this, loop, timeoutNanos);
      connections[slot].connect(bootstrap, address);
    }
    connections[slot].add(new CounterCall(listener, counterName, amount, lifetimeNanos));
  }

  /** The next call that would use the closed connection opens a new one. */
  void connectionClosed(CounterConnection closed) {
    for (int slot = 0; slot < CONNECTIONS; slot++) {
      if (connections[slot] == closed) {
        connections[slot] = null;
      }
    }
  }
}
