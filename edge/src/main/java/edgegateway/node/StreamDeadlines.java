package edgegateway.node;

import edgegateway.node.requests.InFlightRequest;
import edgegateway.policy.GatewayPolicy;
import edgegateway.policy.api.ResponseProgress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Asks the policy from shortly before a client's deadline on whether its streamed response goes on,
 * and resets the client's connection if not. Used on the event loop's thread only.
 */
final class StreamDeadlines {
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final PolicyEventLoop policyEvents;
  private final RequestEndLog endLog;

  StreamDeadlines(PolicyEventLoop policyEvents, RequestEndLog endLog) {
    this.policyEvents = policyEvents;
    this.endLog = endLog;
  }

  private record StreamedResponse(
      InFlightRequest request,
      InFlightRequest.ResponseWriter writer,
      String endpointId,
      Supplier<ResponseProgress> progress) {}

  /** Watches a response whose streaming starts now, until it ends. */
  void watch(
      InFlightRequest request,
      InFlightRequest.ResponseWriter writer,
      String endpointId,
      Supplier<ResponseProgress> progress) {
    checkAt(
        request.clientDeadlineNanos - InFlightRequestTable.LOCAL_FAILURE_MARGIN_NANOS,
        new StreamedResponse(request, writer, endpointId, progress));
  }

  private void checkAt(long timeNanos, StreamedResponse response) {
    response.request.clientDeadlineTimer =
        policyEvents.scheduleAt(timeNanos, () -> check(response));
  }

  private void check(StreamedResponse response) {
    if (!response.writer.isStreaming()) {
      return;
    }
    long nowNanos = policyEvents.nowNanos();
    long lateNanos = nowNanos - response.request.clientDeadlineNanos;
    ResponseProgress progress = response.progress.get();
    if (GatewayPolicy.goesOnAfterDeadline(progress, lateNanos)) {
      checkAt(nowNanos + CHECK_INTERVAL_NANOS, response);
    } else {
      endLog.responseGivenUp(
          response.request, response.endpointId, progress, true, lateNanos, System.nanoTime());
      response.writer.abortStream();
    }
  }
}
