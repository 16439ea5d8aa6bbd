package flintlead.bench;

import flintlead.scheduling.lease.HostEvidence;
import flintlead.scheduling.lease.HostLeases;
import flintlead.scheduling.lease.LeaseListener;
import flintlead.scheduling.lease.LeaseTerms;
import flintlead.scheduling.lease.SendPermission;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Locale;
import java.util.Random;

/**
 * Simulates the cost of leases during an outage of discovery: a model of a fleet with the real
 * lease code and no network. Each request is for a function that some hosts have loaded; a host
 * with a valid lease is preferred to one that needs a probe first. Run by hand with the arguments:
 * gateways, hosts, requests per second of all gateways together, drained hosts.
 */
final class LeaseCost {

  private static final int SECONDS = 30;
  private static final int FUNCTIONS = 400;
  private static final int HOSTS_PER_FUNCTION = 3;
  private static final double ANSWER_MILLIS = 120;

  private final int hosts;
  private final int drained;
  private final Random random = new Random(5);
  private final int[][] probes;
  private int requests;
  private int sentAtOnce;
  private int sentAfterProbe;
  private int denied;
  private int loadedElsewhere;

  private LeaseCost(int hosts, int drained) {
    this.hosts = hosts;
    this.drained = drained;
    this.probes = new int[hosts][SECONDS];
  }

  /** Runs the simulation and prints one line of results. */
  public static void main(String[] args) {
    int gateways = Integer.parseInt(args[0]);
    int hosts = Integer.parseInt(args[1]);
    double rate = Double.parseDouble(args[2]);
    new LeaseCost(hosts, Integer.parseInt(args[3])).simulate(gateways, rate);
  }

  private void simulate(int gateways, double perSecond) {
    LeaseTerms terms = new LeaseTerms(Span.ofMillis(1_000), true, gateways);
    for (int gateway = 0; gateway < gateways; gateway++) {
      HostLeases leases = new HostLeases(terms, LeaseListener.NONE);
      double millis = 0;
      while (millis < SECONDS * 1_000) {
        millis += -Math.log(1 - random.nextDouble()) * 1_000 * gateways / perSecond;
        if (millis < SECONDS * 1_000) {
          request(leases, millis);
        }
      }
    }
    print(gateways, perSecond);
  }

  private static Moment at(double millis) {
    return Moment.START.plus(Span.ofMillis(millis + 1_000));
  }

  /** Draws a function; lower numbers are more popular. */
  private int drawFunction() {
    return (int) (FUNCTIONS * Math.pow(random.nextDouble(), 3));
  }

  private void request(HostLeases leases, double millis) {
    requests++;
    int function = drawFunction();
    Random shuffle = new Random(function * 31L);
    int[] order = shuffle.ints(0, hosts).distinct().limit(hosts).toArray();
    for (int i = 0; i < HOSTS_PER_FUNCTION; i++) {
      if (leases.permission(order[i], at(millis)) == SendPermission.GRANTED) {
        sentAtOnce++;
        serve(leases, order[i], millis);
        return;
      }
    }
    for (int i = 0; i < hosts; i++) {
      if (leases.permission(order[i], at(millis)) != SendPermission.REFUSED
          && ensureLease(leases, order[i], millis)) {
        loadedElsewhere += i < HOSTS_PER_FUNCTION ? 0 : 1;
        sentAfterProbe++;
        serve(leases, order[i], millis);
        return;
      }
    }
  }

  private boolean ensureLease(HostLeases leases, int host, double millis) {
    if (leases.hasLease(host, at(millis))) {
      return true;
    }
    if (!leases.beginProbe(host, at(millis))) {
      return false;
    }
    probes[host][(int) (millis / 1_000)]++;
    boolean ready = host >= drained;
    denied += ready ? 0 : 1;
    HostEvidence result = ready ? HostEvidence.PROBE : HostEvidence.PROBE_DENIED;
    leases.probeEnded(host, at(millis), result, at(millis));
    return ready;
  }

  /**
   * Renews the lease by served work. The renewal takes effect here when the work is sent instead of
   * when its answer arrives, which changes the results little.
   */
  private static void serve(HostLeases leases, int host, double millis) {
    leases.recordProof(host, at(millis), HostEvidence.SERVED, at(millis + ANSWER_MILLIS));
  }

  private void print(int gateways, double perSecond) {
    int total = 0;
    int maxPerSecond = 0;
    for (int[] probesOfHost : probes) {
      for (int count : probesOfHost) {
        total += count;
        maxPerSecond = Math.max(maxPerSecond, count);
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%d gateways, %d hosts, %.0f/s, %d drain: served %.4f, after a probe %.3f, loaded elsewhere"
            + " %.4f, probes a request %.3f, a host and second %.2f mean %d most, denied %.4f%n",
        gateways,
        hosts,
        perSecond,
        drained,
        (sentAtOnce + sentAfterProbe) / (double) requests,
        sentAfterProbe / (double) requests,
        loadedElsewhere / (double) requests,
        total / (double) requests,
        total / (double) hosts / SECONDS,
        maxPerSecond,
        denied / (double) requests);
  }
}
