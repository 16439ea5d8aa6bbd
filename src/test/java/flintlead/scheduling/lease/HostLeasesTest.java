package flintlead.scheduling.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** When the permission to send new work to a host ends, and what renews it. */
class HostLeasesTest {

  private static final long HOST = 7;
  private static final int GRACE_MILLIS = 1_000;

  private final List<String> reported = new ArrayList<>();
  private HostLeases leases = leases(true, 1);

  private HostLeases leases(boolean probes, int gateways) {
    LeaseTerms terms = new LeaseTerms(Span.ofMillis(GRACE_MILLIS), probes, gateways);
    return new HostLeases(
        terms,
        new LeaseListener() {
          @Override
          public void listStale(Span age) {
            reported.add("stale " + age.micros() / 1_000);
          }

          @Override
          public void listCurrent(Span staleFor) {
            reported.add("current " + staleFor.micros() / 1_000);
          }

          @Override
          public void hostChanged(long host, boolean usable, HostEvidence by) {
            reported.add(host + (usable ? " usable by " : " unusable by ") + by.key());
          }
        });
  }

  private static Moment at(double millis) {
    return new Moment(10_000_000).plus(Span.ofMillis(millis));
  }

  private SendPermission permission(double millis) {
    return leases.permission(HOST, at(millis));
  }

  private void probe(double askedMillis, HostEvidence result, double endedMillis) {
    assertTrue(leases.beginProbe(HOST, at(askedMillis)));
    leases.probeEnded(HOST, at(askedMillis), result, at(endedMillis));
  }

  @Test
  void confirmedListRenewsAllForSilenceTimeoutAndLeaseDuration() {
    leases.listConfirmed(at(0));
    assertEquals(SendPermission.GRANTED, permission(4_799));
    assertEquals(SendPermission.AFTER_PROBE, permission(4_800));
    leases.listConfirmed(at(4_900));
    assertEquals(SendPermission.GRANTED, permission(9_699));
  }

  @Test
  void brokenConnectionToDiscoveryEndsLeasesSooner() {
    leases.listConfirmed(at(0));
    leases.discoveryDisconnected(at(500));
    leases.discoveryDisconnected(at(900));
    assertEquals(SendPermission.GRANTED, permission(3_299));
    assertEquals(SendPermission.AFTER_PROBE, permission(3_300));
    leases.listConfirmed(at(400));
    assertEquals(
        SendPermission.AFTER_PROBE,
        permission(3_300),
        "a confirmation from before the break does not count");
    leases.listConfirmed(at(3_300));
    assertEquals(SendPermission.GRANTED, permission(3_301));
  }

  @Test
  void unconfirmedListRenewsNothing() {
    leases.discoveryDisconnected(at(0));
    assertEquals(SendPermission.AFTER_PROBE, permission(0));
  }

  @Test
  void proofCountsFromWhenItsRequestWasSent() {
    probe(0, HostEvidence.PROBE, 300);
    assertEquals(SendPermission.GRANTED, permission(799));
    assertEquals(SendPermission.AFTER_PROBE, permission(800));
    leases.recordProof(HOST, at(790), HostEvidence.SERVED, at(1_500));
    assertEquals(SendPermission.GRANTED, permission(1_589));
    leases.recordProof(HOST, at(100), HostEvidence.SERVED, at(1_550));
    assertEquals(
        SendPermission.GRANTED, permission(1_589), "an older proof does not shorten the lease");
    assertEquals(SendPermission.AFTER_PROBE, permission(1_590));
  }

  @Test
  void failedProbesAreRetriedWithIncreasingBackoff() {
    probe(0, HostEvidence.PROBE_DENIED, 0);
    assertEquals(SendPermission.REFUSED, permission(399));
    assertFalse(leases.beginProbe(HOST, at(399)));
    probe(400, HostEvidence.PROBE_UNANSWERED, 400);
    assertEquals(SendPermission.REFUSED, permission(1_199));
    probe(1_200, HostEvidence.PROBE, 1_200);
    assertEquals(SendPermission.GRANTED, permission(1_201));
    assertEquals(Map.of(RefusalReason.PROBE_DENIED, 1), leases.takeRefusals());
    assertEquals(Map.of(), leases.takeRefusals());
  }

  @Test
  void newWorkWaitsForAProbeInFlight() {
    assertTrue(leases.beginProbe(HOST, at(0)));
    assertEquals(SendPermission.AFTER_PROBE, permission(100));
  }

  @Test
  void rejectedWorkEndsTheLease() {
    probe(0, HostEvidence.PROBE, 1);
    leases.recordRejection(HOST, at(100));
    assertEquals(SendPermission.AFTER_PROBE, permission(100));
  }

  @Test
  void withoutProbesOnlyServedWorkRenewsTheLease() {
    leases = leases(false, 1);
    assertEquals(SendPermission.REFUSED, permission(0));
    leases.recordProof(HOST, at(0), HostEvidence.SERVED, at(50));
    assertEquals(SendPermission.GRANTED, permission(799));
    assertEquals(SendPermission.REFUSED, permission(800));
  }

  @Test
  void probesOfAllGatewaysToOneHostAreLimited() {
    leases = leases(true, 100);
    int sent = 0;
    for (int millis = 0; millis < 60_000; millis += 10) {
      if (leases.permission(HOST, at(millis)) == SendPermission.AFTER_PROBE) {
        probe(millis, HostEvidence.PROBE, millis);
        sent++;
      }
    }
    assertTrue(
        sent <= 2 + 60 * 0.12 + 1, () -> "too many probes by one of 100 gateways in a minute");
    assertTrue(sent >= 8, "too few probes by one of 100 gateways in a minute");
  }

  @Test
  void unreachableHostMayBeAnotherProcessUntilTheListIsConfirmed() {
    leases.listConfirmed(at(0));
    probe(4_900, HostEvidence.PROBE, 4_901);
    leases.recordUnreachable(HOST, at(5_000));
    assertEquals(SendPermission.AFTER_PROBE, permission(5_000));
    leases.recordProof(HOST, at(4_990), HostEvidence.SERVED, at(5_010));
    assertEquals(
        SendPermission.AFTER_PROBE,
        permission(5_011),
        "a proof requested before the host was unreachable is void");
    assertEquals(at(5_500), leases.latestPossibleStart(HOST, at(5_500)), "latest possible start");
    probe(6_000, HostEvidence.PROBE, 6_001);
    assertEquals(at(6_000), leases.latestPossibleStart(HOST, at(9_000)));
    assertFalse(leases.isIdentityKnown(HOST, at(9_000)));
    leases.listConfirmed(at(9_000));
    assertEquals(Moment.START, leases.latestPossibleStart(HOST, at(9_001)));
    assertTrue(leases.isIdentityKnown(HOST, at(9_001)));
  }

  @Test
  void forgottenHostHasNoLease() {
    probe(0, HostEvidence.PROBE, 1);
    leases.forget(HOST);
    assertEquals(SendPermission.AFTER_PROBE, permission(2));
  }

  @Test
  void changesAreReportedOnce() {
    leases.notifyListChanges(at(0));
    leases.notifyListChanges(at(1_900));
    leases.notifyListChanges(at(2_100));
    leases.notifyListChanges(at(2_200));
    probe(2_300, HostEvidence.PROBE, 2_300);
    probe(3_200, HostEvidence.PROBE_DENIED, 3_200);
    leases.recordRejection(HOST, at(3_300));
    probe(3_700, HostEvidence.PROBE, 3_700);
    leases.listConfirmed(at(3_800));
    leases.notifyListChanges(at(3_900));
    assertEquals(
        List.of("stale 2100", "7 unusable by probe_denied", "7 usable by probe", "current 1800"),
        reported);
  }

  /**
   * Random sequences of events: no permission is granted later than the drain grace period after
   * the gateway counts as notified of the drain.
   */
  @Property(tries = 500)
  void noPermissionAfterTheDrainGracePeriod(@ForAll long seed) {
    Random random = new Random(seed);
    leases = leases(random.nextInt(4) > 0, 1 + random.nextInt(5));
    double outageStart = 2_000 + random.nextInt(3_000);
    boolean breaks = random.nextBoolean();
    double drainStart = random.nextInt(15_000);
    double notifiedAt = Math.max(drainStart, outageStart + 4_000);
    for (double now = 0; now < 20_000; now += 1 + random.nextInt(60)) {
      if (now < outageStart) {
        leases.listConfirmed(at(now - random.nextInt(500)));
      } else if (breaks) {
        leases.discoveryDisconnected(at(now));
      }
      SendPermission permission = permission(now);
      assertTrue(
          permission != SendPermission.GRANTED || now < notifiedAt + GRACE_MILLIS,
          "granted at " + now + " ms, notified at " + notifiedAt + " ms");
      double askedAt = now - random.nextInt(700);
      boolean askedBeforeDrain = askedAt < drainStart;
      if (permission == SendPermission.AFTER_PROBE && random.nextBoolean()) {
        probe(now, now < drainStart ? HostEvidence.PROBE : HostEvidence.PROBE_DENIED, now);
      } else if (askedBeforeDrain && random.nextInt(8) == 0) {
        leases.recordProof(HOST, at(askedAt), HostEvidence.SERVED, at(now));
      } else if (!askedBeforeDrain && random.nextBoolean()) {
        leases.recordRejection(HOST, at(now));
      } else if (random.nextInt(40) == 0) {
        leases.recordUnreachable(HOST, at(now));
      }
    }
  }
}
