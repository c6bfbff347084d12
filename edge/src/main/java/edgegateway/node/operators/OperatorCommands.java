package edgegateway.node.operators;

import java.util.concurrent.CompletableFuture;

/**
 * What a node provides for the operators' calls: queries, which read its state, and commands, which
 * change it ({@link OperatorCall}). All methods are thread-safe. The future of a command completes
 * with null on success and otherwise with the reason of the failure.
 */
public interface OperatorCommands {
  /**
   * Whether the node accepts clients: it has an answer from discovery or has waited long enough for
   * one, and it is not draining.
   */
  boolean ready();

  /** Returns the metrics as lines of the form {@code name=value}. */
  String metricsText();

  /** Returns the state of the zones, one line for each. */
  CompletableFuture<String> zoneReport();

  /** Starts or ends draining; a node that drains accepts no clients. */
  CompletableFuture<String> drain(boolean on);

  /** Ejects an endpoint, regardless of its state in discovery, or readmits it. */
  CompletableFuture<String> setEndpointEjected(String endpoint, boolean ejected);

  /**
   * Ejects a zone, or readmits it with a ramp.
   *
   * @param rampSeconds duration of the ramp when readmitting; 0 for the duration of an endpoint's
   *     slow start
   */
  CompletableFuture<String> setZoneEjected(String zone, boolean ejected, long rampSeconds);

  /** Maximum number of open operator connections. */
  int maxOperatorConnections();

  /** Handles the lack of a file descriptor for an operator's connection. */
  void descriptorsExhausted();
}
