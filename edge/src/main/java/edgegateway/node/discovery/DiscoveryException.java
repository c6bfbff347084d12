package edgegateway.node.discovery;

import java.net.InetSocketAddress;

/** Discovery sent a malformed message; the watch that received it is closed. */
public final class DiscoveryException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * The exception's message names the address and the problem.
   *
   * @param address where the malformed message came from
   */
  public DiscoveryException(InetSocketAddress address, String problem, Throwable cause) {
    super("discovery at " + address + ": " + problem, cause);
  }
}
