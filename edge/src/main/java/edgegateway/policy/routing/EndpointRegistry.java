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

/** The endpoints that this node knows, and which of them may be chosen. */
final class EndpointRegistry {
  /** How long an endpoint that left the list is remembered; what is known of it ages far sooner. */
  private static final long FORGET_AFTER_NANOS = 60 * Durations.NANOS_PER_SECOND;

  private final PolicySettings settings;
  private final EventClock clock;
  private final PolicyActions actions;
  private final PeerAverages peers;
  private final ZoneTraffic zones;
  private final Map<String, EndpointTracker> endpoints = new LinkedHashMap<>();
  private final Set<String> ejectedByOperator = new HashSet<>();
  private List<EndpointTracker> usable = List.of();
  private List<EndpointTracker> routable = List.of();

  EndpointRegistry(
      PolicySettings settings,
      EventClock clock,
      PolicyActions actions,
      PeerAverages peers,
      ZoneTraffic zones) {
    this.settings = settings;
    this.clock = clock;
    this.actions = actions;
    this.peers = peers;
    this.zones = zones;
  }

  /** All that are known, in the order in which they became known. */
  Collection<EndpointTracker> all() {
    return endpoints.values();
  }

  /** Returns an endpoint by its name; null if it is not known. */
  EndpointTracker get(String id) {
    return endpoints.get(id);
  }

  /** The endpoints that neither the list nor an operator bars. */
  List<EndpointTracker> usable() {
    return usable;
  }

  /** The usable endpoints in zones that get traffic. */
  List<EndpointTracker> routable() {
    return routable;
  }

  /** The names of the endpoints that operators have ejected, listed or not. */
  Set<String> ejectedByOperator() {
    return ejectedByOperator;
  }

  /** Takes over the list, or changes to it; {@link #refresh} is due afterwards. */
  void update(EndpointListKind kind, List<Endpoint> entries) {
    if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
      unlistAllBut(entries);
    }
    for (Endpoint entry : entries) {
      EndpointTracker known = endpoints.get(entry.id());
      boolean restarted = known == null || known.entry().startedAtNanos() != entry.startedAtNanos();
      if (known != null) {
        known.setUsable(false);
      }
      EndpointTracker endpoint = restarted ? newTracker(entry, entry.startedAtNanos()) : known;
      endpoints.put(entry.id(), endpoint);
      endpoint.updateEntry(entry);
    }
  }

  private void unlistAllBut(List<Endpoint> entries) {
    Set<String> named = new HashSet<>();
    for (Endpoint entry : entries) {
      named.add(entry.id());
    }
    for (EndpointTracker endpoint : endpoints.values()) {
      if (!named.contains(endpoint.id())) {
        endpoint.setListed(false);
      }
    }
  }

  private EndpointTracker newTracker(Endpoint entry, long startedAtNanos) {
    return new EndpointTracker(
        clock,
        entry,
        new EndpointStatistics(clock, peers, actions, entry),
        new SlowStart(clock, settings.rules(), startedAtNanos));
  }

  /**
   * Decides which endpoints may be chosen. A zone that the fleet has ejected stays among the usable
   * ones, so that the concurrency limit is not cut for it: its controller sees the rest.
   */
  void refresh() {
    endpoints.values().removeIf(this::canBeForgotten);
    List<EndpointTracker> nowUsable = new ArrayList<>();
    List<EndpointTracker> nowRoutable = new ArrayList<>();
    for (EndpointTracker endpoint : endpoints.values()) {
      endpoint.setUsable(mayBeUsed(endpoint));
      if (endpoint.usable()) {
        nowUsable.add(endpoint);
        if (zones.fraction(endpoint.zone()) > 0) {
          nowRoutable.add(endpoint);
        }
      }
    }
    usable = nowUsable;
    routable = nowRoutable;
  }

  private boolean mayBeUsed(EndpointTracker endpoint) {
    return endpoint.listed()
        && endpoint.entry().state() == EndpointState.READY
        && !ejectedByOperator.contains(endpoint.id())
        && zones.operatorFraction(endpoint.zone()) > 0;
  }

  /** Each restart may name an endpoint anew: memory must not hold them all. */
  private boolean canBeForgotten(EndpointTracker endpoint) {
    boolean needed =
        endpoint.listed()
            || endpoint.inFlightCount() > 0
            || ejectedByOperator.contains(endpoint.id());
    long idleNanos = clock.nowNanos() - endpoint.statistics().lastResultNanos();
    return !needed && idleNanos > FORGET_AFTER_NANOS;
  }

  /** Ejects an endpoint for an operator; {@link #refresh} is due afterwards. */
  void eject(String id) {
    ejectedByOperator.add(id);
  }

  /** Readmits an endpoint that an operator ejected; {@link #refresh} is due afterwards. */
  void readmit(String id) {
    EndpointTracker known = endpoints.get(id);
    if (ejectedByOperator.remove(id) && known != null) {
      beginSlowStart(known);
    }
  }

  /** Begins anew with all endpoints of a zone that is readmitted. */
  void readmitZone(int zone) {
    for (EndpointTracker endpoint : List.copyOf(endpoints.values())) {
      if (endpoint.zone() == zone) {
        beginSlowStart(endpoint);
      }
    }
  }

  /** An endpoint that was ejected may have been restarted, and what was known of it is old. */
  private void beginSlowStart(EndpointTracker old) {
    EndpointTracker fresh = newTracker(old.entry(), clock.nowNanos());
    fresh.setListed(old.listed());
    old.setUsable(false);
    endpoints.put(old.id(), fresh);
  }
}
