package flintlead.configuration.haproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.daemon.Daemon;
import flintlead.daemon.DaemonConfig;
import flintlead.gateway.InvocationRequest;
import flintlead.gateway.InvocationResponse;
import flintlead.gateway.ScriptedHost;
import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.state.HashWalks;
import flintlead.scheduling.state.Host;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Weights show in the traffic as the source describes it, by a chi-squared test at 0.001. */
@Timeout(60)
class WeightsTest {

  /** Upper 0.001 points of chi-squared, by degrees of freedom. */
  private static final double[] POINTS = {0, 10.83, 13.82, 16.27, 18.47};

  private static final int FUNCTIONS = 1_500;

  private static double chiSquared(double[] seen, double[] weights) {
    double all = Arrays.stream(seen).sum();
    double sum = Arrays.stream(weights).sum();
    double square = 0;
    for (int i = 0; i < seen.length; i++) {
      double expected = all * weights[i] / sum;
      square += (seen[i] - expected) * (seen[i] - expected) / expected;
    }
    return square;
  }

  @ParameterizedTest
  @CsvSource({"10,30,0", "1,1,1", "5,50,100"})
  void importedWeightsSplitTheFunctions(int one, int two, int three, @TempDir Path folder)
      throws Exception {
    double[] weights = three == 0 ? new double[] {one, two} : new double[] {one, two, three};
    List<ScriptedHost> hosts = new ArrayList<>();
    StringBuilder source =
        new StringBuilder(
            "listen saws\n  bind unix@"
                + folder.resolve("front")
                + "\n  timeout server 3s\n"
                + "  balance roundrobin\n");
    for (int i = 0; i < weights.length; i++) {
      Path socket = folder.resolve("s" + i);
      ScriptedHost host = new ScriptedHost("s" + i, new Address.Unix(socket));
      host.echoes = true;
      hosts.add(host);
      source
          .append("  server s")
          .append(i)
          .append(" unix@")
          .append(socket)
          .append(" weight ")
          .append((int) weights[i])
          .append('\n');
    }
    HaproxyImporter.ImportResult imported =
        HaproxyImporter.importSource(
            HaproxySource.parse("f.cfg", source.toString(), name -> null), "/run");
    Daemon daemon =
        Daemon.start(DaemonConfig.parse("saws.yaml", imported.files().get("saws.yaml")));
    try {
      List<CompletableFuture<InvocationResponse>> out = new ArrayList<>();
      for (int i = 0; i < FUNCTIONS; i++) {
        out.add(daemon.gateway().invoke(InvocationRequest.of("fn-" + i, "call")));
        if (out.size() == 2) {
          for (CompletableFuture<InvocationResponse> each : out) {
            assertEquals(InvocationResponse.Status.SUCCEEDED, each.join().status());
          }
          out.clear();
        }
      }
      double[] seen = hosts.stream().mapToDouble(host -> host.runTokens.size()).toArray();
      double square = chiSquared(seen, weights);
      assertTrue(
          square < POINTS[weights.length - 1], Arrays.toString(seen) + ": chi-squared " + square);
      assertTrue(
          one == two || chiSquared(seen, new double[] {1, 1, 1}) > POINTS[2],
          "and not as if there were none");
    } finally {
      daemon.gateway().kill();
      daemon.stop();
      hosts.forEach(ScriptedHost::close);
    }
  }

  private static Host[] ring(double... weights) {
    Host[] ring = new Host[weights.length];
    for (int i = 0; i < ring.length; i++) {
      ring[i] =
          new Host(
              new HostEntry(
                  1_000 + i * 7L, 0, 0, 0, HostEntry.State.READY, new Moment(0), weights[i]));
    }
    return ring;
  }

  private static Host[] walk(long function, Host[] hosts) {
    return new HashWalks(hosts.length).walk(function, hosts);
  }

  /** Where a weight changes, functions move to or from that host only. */
  @Test
  void aChangeOfOneWeightMovesNothingBetweenOthers() {
    Host[] before = ring(1, 1, 2, 4);
    Host[] after = ring(1, 3, 2, 4);
    int moved = 0;
    for (long fn = 0; fn < 5_000; fn++) {
      long was = walk(fn, before)[0].id();
      long is = walk(fn, after)[0].id();
      moved += was == is ? 0 : 1;
      assertTrue(was == is || is == before[1].id(), "to the heavier one only");
    }
    assertEquals(5_000 * (0.3 - 0.125), moved, 150);
  }

  @Test
  void evenWeightsLeaveTheWalkAsItWas() {
    for (long fn = 0; fn < 200; fn++) {
      List<Long> ones = Arrays.stream(walk(fn, ring(1, 1, 1, 1, 1))).map(Host::id).toList();
      List<Long> sevens = Arrays.stream(walk(fn, ring(7, 7, 7, 7, 7))).map(Host::id).toList();
      List<Long> nearly =
          Arrays.stream(walk(fn, ring(1, 1, 1, 1, 1 + 1e-12))).map(Host::id).toList();
      assertEquals(ones, sevens);
      assertEquals(ones, nearly, "weights that hardly differ hardly change anything");
    }
  }
}
