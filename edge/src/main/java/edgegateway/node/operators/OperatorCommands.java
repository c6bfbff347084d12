package edgegateway.node.operators;

import java.util.concurrent.CompletableFuture;

/**
 * What operators can ask of a node and have it do. All methods may be called on any thread; a
 * command's future completes with null, or with the reason why it was not carried out.
 */
public interface OperatorCommands {
  /** Whether the node takes clients: discovery was heard, or waited for, and it does not drain. */
  boolean ready();

  /** The metrics, one {@code name=value} a line. */
  String metricsText();

  /** The state of each zone, one a line. */
  CompletableFuture<String> zoneReport();

  /** Begins to drain, or takes clients again. */
  CompletableFuture<String> drain(boolean on);

  /** Ejects a server whatever discovery says of it, or readmits it. */
  CompletableFuture<String> setEndpointEjected(String server, boolean ejected);

  /**
   * Ejects a zone, or readmits it with a ramp.
   *
   * @param rampSeconds duration of the ramp; 0 for as long as a server's slow start takes
   */
  CompletableFuture<String> setZoneEjected(String zone, boolean ejected, long rampSeconds);

  /** How many operators' connections may be open at once. */
  int maxOperatorConnections();

  /** No file descriptor was left for an operator's connection. */
  void descriptorsExhausted();
}
