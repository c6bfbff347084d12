package edgegateway.node.discovery;

import java.net.InetSocketAddress;

/** Discovery sent what cannot be read; names its address. The watch that it came by ends. */
public final class DiscoveryException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** What was wrong with what came from this address. */
  public DiscoveryException(InetSocketAddress address, String problem, Throwable cause) {
    super("discovery at " + address + ": " + problem, cause);
  }
}
