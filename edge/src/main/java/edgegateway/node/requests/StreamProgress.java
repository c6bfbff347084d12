package edgegateway.node.requests;

/** How far a streamed response has come. Used on the event loop's thread only. */
public interface StreamProgress {
  /** How many bytes of the body the archive server has sent. */
  long receivedBytes();

  /** How long the archive server has sent nothing although it was read, in nanoseconds. */
  long silentNanos();
}
