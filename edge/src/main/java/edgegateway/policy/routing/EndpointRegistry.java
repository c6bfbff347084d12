package edgegateway.policy.routing;

import edgegateway.policy.api.Endpoint;
import edgegateway.policy.api.EndpointListKind;
import edgegateway.policy.api.EndpointState;
import edgegateway.policy.api.PolicyActions;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.time.Durations;
import edgegateway.policy.time.EventClock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The endpoints that this node knows, listed or not, and which of them may be chosen. */
final class EndpointRegistry {
  /**
   * How long after its last attempt an endpoint that left the list is forgotten. Its statistics
   * have long decayed by then.
   */
  private static final long FORGET_AFTER_NANOS = 60 * Durations.NANOS_PER_SECOND;

  private final PolicySettings settings;
  private final EventClock clock;
  private final PolicyActions actions;
  private final PeerAverages peerAverages;
  private final ZoneTraffic zones;
  private final Map<String, EndpointTracker> endpoints = new LinkedHashMap<>();
  private final Set<String> ejectedByOperator = new HashSet<>();
  private List<EndpointTracker> usable = List.of();
  private List<EndpointTracker> routable = List.of();

  EndpointRegistry(
      PolicySettings settings,
      EventClock clock,
      PolicyActions actions,
      PeerAverages peerAverages,
      ZoneTraffic zones) {
    this.settings = settings;
    this.clock = clock;
    this.actions = actions;
    this.peerAverages = peerAverages;
    this.zones = zones;
  }

  /** All known endpoints, in the order in which they became known. */
  Collection<EndpointTracker> all() {
    return endpoints.values();
  }

  /** Returns the endpoint with an id; null if it is unknown. */
  EndpointTracker get(String id) {
    return endpoints.get(id);
  }

  /** The endpoints that are listed as ready and that no operator has ejected, alone or by zone. */
  List<EndpointTracker> usable() {
    return usable;
  }

  /** The usable endpoints in zones that get traffic: those that may be chosen for an attempt. */
  List<EndpointTracker> routable() {
    return routable;
  }

  /** The ids of the endpoints that operators have ejected, listed or not. */
  Set<String> ejectedByOperator() {
    return ejectedByOperator;
  }

  /**
   * Applies an update of the endpoint list. A new or restarted endpoint gets a new tracker. {@link
   * #refresh} must be called afterwards.
   */
  void update(EndpointListKind kind, List<Endpoint> entries) {
    if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
      unlistAllExcept(entries);
    }
    for (Endpoint entry : entries) {
      EndpointTracker known = endpoints.get(entry.id());
      boolean newOrRestarted =
          known == null || known.entry().startedAtNanos() != entry.startedAtNanos();
      if (known != null) {
        known.setUsable(false);
      }
      EndpointTracker endpoint = newOrRestarted ? newTracker(entry, entry.startedAtNanos()) : known;
      endpoints.put(entry.id(), endpoint);
      endpoint.updateEntry(entry);
    }
  }

  private void unlistAllExcept(List<Endpoint> entries) {
    Set<String> listedIds = new HashSet<>();
    for (Endpoint entry : entries) {
      listedIds.add(entry.id());
    }
    for (EndpointTracker endpoint : endpoints.values()) {
      if (!listedIds.contains(endpoint.id())) {
        endpoint.setListed(false);
      }
    }
  }

  private EndpointTracker newTracker(Endpoint entry, long startedAtNanos) {
    return new EndpointTracker(
        clock,
        entry,
        new EndpointStatistics(clock, peerAverages, actions, entry),
        new SlowStart(clock, settings.rules(), startedAtNanos));
  }

  /**
   * Determines which endpoints are usable and routable, and forgets endpoints that are no longer
   * needed. Endpoints of a zone that the fleet has ejected stay usable, so that the capacity from
   * which the concurrency limit is derived is not cut; the concurrency controller reacts to the
   * effects by itself.
   */
  void refresh() {
    endpoints.values().removeIf(this::canBeForgotten);
    List<EndpointTracker> nowUsable = new ArrayList<>();
    List<EndpointTracker> nowRoutable = new ArrayList<>();
    for (EndpointTracker endpoint : endpoints.values()) {
      endpoint.setUsable(isUsable(endpoint));
      if (endpoint.usable()) {
        nowUsable.add(endpoint);
        if (zones.trafficFraction(endpoint.zone()) > 0) {
          nowRoutable.add(endpoint);
        }
      }
    }
    usable = nowUsable;
    routable = nowRoutable;
  }

  private boolean isUsable(EndpointTracker endpoint) {
    return endpoint.listed()
        && endpoint.entry().state() == EndpointState.READY
        && !ejectedByOperator.contains(endpoint.id())
        && zones.operatorTrafficFraction(endpoint.zone()) > 0;
  }

  /**
   * Whether an endpoint need not be remembered. An endpoint may get a new id at each restart, so
   * the old ones must be forgotten for memory use to stay bounded.
   */
  private boolean canBeForgotten(EndpointTracker endpoint) {
    boolean needed =
        endpoint.listed()
            || endpoint.inFlightCount() > 0
            || ejectedByOperator.contains(endpoint.id());
    long idleNanos = clock.nowNanos() - endpoint.statistics().lastResultNanos();
    return !needed && idleNanos > FORGET_AFTER_NANOS;
  }

  /** Ejects an endpoint for an operator; {@link #refresh} must be called afterwards. */
  void eject(String id) {
    ejectedByOperator.add(id);
  }

  /**
   * Readmits an endpoint in slow start if an operator ejected it; {@link #refresh} must be called
   * afterwards.
   */
  void readmit(String id) {
    EndpointTracker known = endpoints.get(id);
    if (ejectedByOperator.remove(id) && known != null) {
      beginSlowStart(known);
    }
  }

  /**
   * Puts all endpoints of a zone that is readmitted in slow start; {@link #refresh} must be called
   * afterwards.
   */
  void beginSlowStartInZone(int zone) {
    for (EndpointTracker endpoint : List.copyOf(endpoints.values())) {
      if (endpoint.zone() == zone) {
        beginSlowStart(endpoint);
      }
    }
  }

  /**
   * Replaces an endpoint's tracker by a new one in slow start: while the endpoint was ejected, it
   * may have been restarted, and its statistics have become out of date.
   */
  private void beginSlowStart(EndpointTracker previous) {
    EndpointTracker replacement = newTracker(previous.entry(), clock.nowNanos());
    replacement.setListed(previous.listed());
    previous.setUsable(false);
    endpoints.put(previous.id(), replacement);
  }
}
