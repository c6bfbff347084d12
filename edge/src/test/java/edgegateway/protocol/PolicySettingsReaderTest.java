package edgegateway.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgegateway.policy.api.CounterSettings;
import edgegateway.policy.api.DeduplicationScope;
import edgegateway.policy.api.Idempotency;
import edgegateway.policy.api.PlatformRules;
import edgegateway.policy.api.PolicySettings;
import edgegateway.policy.api.QuotaPlan;
import edgegateway.policy.api.RequestClass;
import edgegateway.policy.api.RequestLimits;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * The keys here are literals and not {@link SettingKeys}, because the simulator's wire and the
 * configuration use them: they must stay when code is renamed.
 */
class PolicySettingsReaderTest {
  private static PolicySettings read(String line) {
    return PolicySettingsReader.read(line.split(" "), 0);
  }

  @Test
  void defaultsAreZeroFalseAndEmpty() {
    assertEquals(
        new PolicySettings(
            0,
            1,
            0,
            0,
            true,
            List.of(),
            List.of(),
            List.of(),
            new RequestLimits(0, 0, false, false, 0, false),
            new CounterSettings(false, 0, false, 0),
            new PlatformRules(0, 0, 0, 0, 0)),
        PolicySettingsReader.read(Map.of()));
  }

  @Test
  void readsNodeSettingsAndRequestLimits() {
    PolicySettings settings =
        read(
            "my-number=3 siblings=7 my-zone=2 tick-ns=4000000 weights=off discovery=subscribe"
                + " caps.max-attempts=4 caps.max-open=20000 caps.probes=true caps.retry-after=1"
                + " caps.max-retry-after-ns=500000000");
    assertEquals(3, settings.nodeIndex());
    assertEquals(7, settings.nodeCount());
    assertEquals(2, settings.localZone());
    assertEquals(4_000_000, settings.tickNanos());
    assertFalse(settings.endpointWeightsUsed());
    assertEquals(new RequestLimits(4, 20_000, true, true, 500_000_000, true), settings.limits());
  }

  @Test
  void readsCounterSettingsAndPlatformRules() {
    PolicySettings settings =
        read(
            "domain.has-counter=true domain.count-wait-ns=30000000 domain.trued-up=true"
                + " domain.units-top=9.5 rules.answer-slack-ns=16000000 rules.cold-from=0.24"
                + " rules.ramp-time-ns=17000000000 rules.overload-factor=2.5"
                + " rules.tip-after-ns=1500000000");
    assertEquals(new CounterSettings(true, 30_000_000, true, 9.5), settings.counter());
    assertEquals(
        new PlatformRules(16_000_000, 0.24, 17_000_000_000L, 2.5, 1_500_000_000), settings.rules());
  }

  @Test
  void readsEachRequestClass() {
    PolicySettings settings =
        read(
            "classes.count=3 classes.0.aim-ns=10 classes.0.deadline-ns=20"
                + " classes.0.idempotency=retryable classes.0.group=all classes.0.worth=1.5"
                + " classes.1.idempotency=dedup classes.1.group=zone classes.1.key-ttl-ns=30"
                + " classes.1.late-value=0.4 classes.2.idempotency=fragile classes.2.group=cell"
                + " classes.3.aim-ns=99");
    assertEquals(
        List.of(
            new RequestClass(10, 20, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 1.5),
            new RequestClass(0, 0, Idempotency.KEYED, DeduplicationScope.ZONE, 30, 0.4, 0),
            new RequestClass(0, 0, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.CELL, 0, 0, 0)),
        settings.requestClasses());
  }

  @Test
  void readsEachQuotaPlan() {
    PolicySettings settings =
        read(
            "tariffs.count=2 tariffs.1.units-per-s=1 tariffs.1.peak-units=2 tariffs.1.at-once=3"
                + " tariffs.1.price=4 tariffs.1.beyond-earns=5 tariffs.1.beyond-costs=6"
                + " tariffs.1.hard-rate=7 tariffs.1.hard-burst=8 tariffs.1.hard-slack=9");
    assertEquals(
        List.of(new QuotaPlan(0, 0, 0, 0, 0, 0, 0, 0, 0), new QuotaPlan(1, 2, 3, 4, 5, 6, 7, 8, 9)),
        settings.quotaPlans());
  }

  @Test
  void readsLoadReportNamesUnlessTheSourceIsOff() {
    assertEquals(
        List.of("rps", "cpu"),
        read("load-info.names=rps,cpu load-info.source=inline").loadReportNames());
    assertEquals(List.of("rps"), read("load-info.names=rps").loadReportNames());
    assertEquals(List.of(), read("load-info.names=rps,cpu load-info.source=off").loadReportNames());
    assertEquals(List.of(), read("load-info.names=-").loadReportNames());
    assertEquals(List.of(), read("load-info.names=").loadReportNames());
  }

  @Test
  void absentAndUnknownSettingsAreIgnored() {
    PolicySettings settings = read("siblings=- rules.cold-from=- colour=blue goal.whole=x");
    assertEquals(1, settings.nodeCount());
    assertEquals(0, settings.rules().slowStartInitialFraction());
    assertTrue(settings.endpointWeightsUsed());
  }

  @Test
  void integersAreRounded() {
    assertEquals(1_000_000, read("tick-ns=1e6").tickNanos());
    assertEquals(3, read("tick-ns=2.5").tickNanos());
  }

  @Test
  void errorNamesTheInvalidSetting() {
    assertEquals(
        "classes.1.worth is not a number",
        assertThrows(
                InvalidSettingException.class, () -> read("classes.count=2 classes.1.worth=much"))
            .getMessage());
    assertEquals(
        "'classes' is not path=value",
        assertThrows(InvalidSettingException.class, () -> read("tick-ns=1 classes")).getMessage());
    assertEquals(
        "'=1' is not path=value",
        assertThrows(InvalidSettingException.class, () -> read("=1")).getMessage());
  }
}
