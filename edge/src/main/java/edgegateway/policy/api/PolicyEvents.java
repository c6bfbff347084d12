package edgegateway.policy.api;

import java.util.List;
import java.util.Set;

/** What the host calls, in the order in which things happen. */
public interface PolicyEvents {
  /** The server list, or changes to it. */
  void endpointsUpdated(long now, EndpointListKind kind, List<Endpoint> entries);

  /** A request came in; exactly one final answer is owed. */
  void requestReceived(long now, Request request);

  /** A request came in that the host has no room to carry: it is refused. */
  void requestOverHostCapacity(long now, Request request);

  /** An attempt is over; each attempt ends exactly once. */
  void attemptEnded(long now, AttemptResult result);

  /** The stream of a request began; no deadline binds it any more. */
  void streamStarted(long now, String id);

  /**
   * A part of the request's long body went to the server and is no longer held: no further attempt
   * can be made. The server begins only when the client has sent the rest.
   */
  void bodyForwarded(long now, String id);

  /** The rest of a long body was sent to the server; the attempt's span counts from now. */
  void uploadCompleted(long now, String id);

  /** The client left; nothing is owed any more. */
  void clientDisconnected(long now, String id);

  /** A call to the counter ended; calls of one name end in their order. */
  void counterReplied(long now, long name, Outcome outcome, double total);

  /** A probe ended. */
  void healthChecked(long now, String server, Outcome outcome, long took, List<Double> report);

  /** A timer came due. */
  void timerFired(long now, long token);

  /**
   * An operator leaves a server out, whatever the list says of it, or lets it serve again; false,
   * and nothing done, if the list never named it.
   */
  boolean setEndpointEjected(long now, String server, boolean out);

  /**
   * The servers that were out by hand before this start, listed or not: exactly these are out now.
   */
  void restoreEjectedEndpoints(long now, Set<String> servers);

  /**
   * An operator leaves a zone out, or has it back: its servers begin as cold ones, and its part of
   * the work grows evenly over {@code ramp}. False, and nothing done, if no server of another zone
   * could be sent to.
   */
  boolean setZoneEjected(long now, int zone, boolean out, long ramp);

  /** The zones that were out by hand before this start: exactly these are out now. */
  void restoreEjectedZones(long now, Set<Integer> zones);

  /** From now on a zone's part of the work is so, unless operators say otherwise; null: as ever. */
  void setZoneRamp(long now, int zone, TrafficRamp course);

  /** The next request that may be repeated freely is sent to a zone that is out by its course. */
  void probeZone(long now, int zone);

  /**
   * Another gateway goes on in this one's place; this one still answers what it has and little
   * more.
   */
  StateTransfer exportState(long now);

  /** This gateway goes on in the place of the one that made this. */
  void importState(long now, StateTransfer from);
}
