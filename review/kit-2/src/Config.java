/** Configurations like those of a small deployment; figures as the customer's site has them. */
final class Config {
  int nodes = 2;
  int number;
  int sockets = 512;
  String extraClass = "";
  String plans =
      """
      {"name":"editorial","units-per-s":400,"peak-units":800,"at-once":0,"price":1.8,"beyond-earns":0,"beyond-costs":0.8,
       "hard-rate":0,"hard-burst":0,"hard-slack":0},
      {"name":"profesional","units-per-s":40,"peak-units":60,"at-once":0,"price":1.1,"beyond-earns":0,"beyond-costs":1.0,
       "hard-rate":80,"hard-burst":120,"hard-slack":12}
      """;
  int searchAimMillis = 2_000;
  int licenseAimMillis = 1_500;
  int deadlineMillis = 6_000;
  int windowMillis = 6_000;
  double lateValue;

  private String requestClass(
      String name, int aimMillis, int deadlineMillis, String effect, int windowMillis, double worth) {
    return "{\"name\":\"" + name + "\",\"aim-ns\":" + aimMillis * 1_000_000L + ",\"deadline-ns\":"
        + deadlineMillis * 1_000_000L + ",\"idempotency\":\"" + effect + "\",\"group\":\"all\",\"key-ttl-ns\":"
        + windowMillis * 1_000_000L + ",\"late-value\":" + lateValue + ",\"streamed\":false,\"worth\":" + worth + "}";
  }

  String text(Discovery discovery, Counter counter) {
    return "{\"name\":\"@NAME\",\"listen\":\"@LISTEN\",\"ops\":\"@OPS\",\"discovery\":\"" + discovery.address()
        + "\",\"counter\":\"" + counter.address()
        + "\",\"seed\":\"" + Long.toHexString(new java.util.Random().nextLong() >>> 1)
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":" + discovery.whole()
        + ",\"settings\":{\"my-number\":" + number + ",\"siblings\":" + nodes
        + ",\"my-zone\":0,\"tick-ns\":4000000,\"weights\":\"nominal\",\"discovery\":\"automatic\","
        + "\"failure-domains\":[\"guatemala-city-1\"],\"skus\":[\"std-4core\"],"
        + "\"caps\":{\"cancel\":true,\"max-attempts\":4,\"max-open\":20000,\"connect-timeout-ns\":250000000,"
        + "\"keepalive-ns\":15000000000,\"retry-after\":true,\"max-retry-after-ns\":500000000,\"may-duplicate\":true,"
        + "\"probes\":false,\"multiplex\":1},"
        + "\"domain\":{\"call-price\":0.01,\"count-wait-ns\":30000000,\"has-counter\":true,\"trued-up\":false,"
        + "\"units-top\":1},"
        + "\"rules\":{\"answer-slack-ns\":16000000,\"cold-from\":0.24,\"ramp-time-ns\":17000000000,"
        + "\"overload-factor\":2.5,\"tip-after-ns\":1500000000,\"stop-sending-within-ns\":1000000000},"
        + "\"load-info\":{\"names\":[],\"source\":\"off\"},"
        + "\"classes\":["
        + requestClass("search", searchAimMillis, deadlineMillis, "retryable", windowMillis, 1)
        + "," + requestClass("license", licenseAimMillis, deadlineMillis, "dedup", windowMillis, 3)
        + extraClass + "],\"tariffs\":[" + plans + "]}}";
  }
}
