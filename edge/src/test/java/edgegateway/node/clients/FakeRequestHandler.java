package edgegateway.node.clients;

import edgegateway.node.metrics.NodeMetrics.RequestEnd;
import edgegateway.node.requests.ClientRequestHandler;
import edgegateway.node.requests.InFlightRequest;
import java.util.ArrayList;
import java.util.List;

/** Request handler that records the reported requests and has a clock that tests set. */
final class FakeRequestHandler implements ClientRequestHandler {
  long nowNanos;
  boolean healthy = true;

  /** Whether every request's id counts as already in flight. */
  boolean duplicate;

  final List<InFlightRequest> accepted = new ArrayList<>();
  final List<InFlightRequest> rejected = new ArrayList<>();
  final List<InFlightRequest> disconnected = new ArrayList<>();

  @Override
  public long nowNanos() {
    return nowNanos;
  }

  @Override
  public long policyDeadlineNanos(long now, long clientTimeoutNanos) {
    return now + clientTimeoutNanos;
  }

  @Override
  public boolean healthy() {
    return healthy;
  }

  @Override
  public boolean accept(InFlightRequest request) {
    if (!duplicate) {
      accepted.add(request);
    }
    return !duplicate;
  }

  @Override
  public boolean rejectOverCapacity(InFlightRequest request) {
    rejected.add(request);
    request.claimResponse().sendRejection(0);
    return true;
  }

  @Override
  public void bodyForwarded(InFlightRequest request) {}

  @Override
  public void uploadCompleted(InFlightRequest request, long clientWaitsNanos) {}

  @Override
  public void responseEnded(InFlightRequest request, RequestEnd end) {}

  @Override
  public void clientDisconnected(InFlightRequest request) {
    disconnected.add(request);
  }

  @Override
  public void clientPossiblyDisconnected(InFlightRequest request) {}
}
