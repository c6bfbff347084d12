/** The settings of a small deployment, like those of the customer's site. */
final class Settings {
  private Settings() {}

  /** One class: effect is retryable, dedup or fragile; times in milliseconds. */
  static String requestClass(
      String name, String effect, String group, long aim, long deadline, long keyLife, double late) {
    return String.format(
        "{\"name\":\"%s\",\"aim-ns\":%d,\"deadline-ns\":%d,\"idempotency\":\"%s\","
            + "\"group\":\"%s\",\"key-ttl-ns\":%d,\"late-value\":%s,\"worth\":1}",
        name, aim * 1_000_000, deadline * 1_000_000, effect, group, keyLife * 1_000_000, late);
  }

  static String plan(String name, double rate, double burst, double hardRate, double hardBurst, double slack) {
    return String.format(
        "{\"name\":\"%s\",\"units-per-s\":%s,\"peak-units\":%s,\"price\":1,\"beyond-earns\":0,"
            + "\"beyond-costs\":1,\"hard-rate\":%s,\"hard-burst\":%s,\"hard-slack\":%s,\"at-once\":0}",
        name, rate, burst, hardRate, hardBurst, slack);
  }

  static String of(int node, int nodes, String zones, String classes, String plans) {
    return of(node, nodes, zones, classes, plans, 250);
  }

  static String of(
      int node, int nodes, String zones, String classes, String plans, int connectMillis) {
    return "{\"my-number\":" + node + ",\"siblings\":" + nodes + ",\"my-zone\":0,\"tick-ns\":4000000,"
        + "\"weights\":\"nominal\",\"discovery\":\"automatic\",\"failure-domains\":[" + zones + "],"
        + "\"skus\":[\"std-4core\"],"
        + "\"caps\":{\"max-attempts\":4,\"max-open\":1000,\"connect-timeout-ns\":" + connectMillis * 1_000_000L
        + ",\"keepalive-ns\":15000000000,\"retry-after\":true,\"max-retry-after-ns\":500000000,"
        + "\"may-duplicate\":true},"
        + "\"domain\":{\"count-wait-ns\":30000000,\"has-counter\":true,\"trued-up\":false,\"units-top\":1},"
        + "\"rules\":{\"answer-slack-ns\":8000000,\"cold-from\":0.24,\"ramp-time-ns\":17000000000,"
        + "\"overload-factor\":2.5,\"tip-after-ns\":1500000000,\"stop-sending-within-ns\":1000000000},"
        + "\"load-info\":{\"names\":[],\"source\":\"off\"},"
        + "\"classes\":[" + classes + "],\"tariffs\":[" + plans + "]}";
  }
}
