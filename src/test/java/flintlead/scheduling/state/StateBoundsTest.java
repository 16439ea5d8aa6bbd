package flintlead.scheduling.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.scheduling.api.HostEntry;
import flintlead.scheduling.api.StateLimits;
import flintlead.time.Moment;
import org.junit.jupiter.api.Test;

/** What a scheduler remembers of functions is bounded, whatever clients ask for. */
class StateBoundsTest {

  private static final Moment NOW = new Moment(1_000);

  private static Host[] hosts(int count) {
    Host[] hosts = new Host[count];
    for (int i = 0; i < count; i++) {
      hosts[i] = new Host(new HostEntry(100 + i, 0, 0, 0, HostEntry.State.READY, new Moment(0), 1));
    }
    return hosts;
  }

  /** Each function kept an order of all hosts: functions times hosts filled the heap. */
  @Test
  void hashWalksAreLimitedInHostsOverAllFunctions() {
    Host[] hosts = hosts(40);
    HashWalks walks = new HashWalks(100);
    Host[] first = walks.walk(1, hosts);
    for (int function = 2; function < 200; function++) {
      walks.walk(function, hosts);
      assertTrue(walks.cachedHosts() <= 100, "cached: " + walks.cachedHosts());
    }
    assertSame(walks.walk(199, hosts), walks.walk(199, hosts));
    assertNotSame(first, walks.walk(1, hosts));
    assertArrayEquals(first, walks.walk(1, hosts));
  }

  @Test
  void walksOfAFormerHostListAreDropped() {
    HashWalks walks = new HashWalks(100);
    walks.walk(1, hosts(40));
    walks.walk(2, hosts(30));
    assertEquals(30, walks.cachedHosts());
  }

  /** A fleet larger than the limit is served without a cache. */
  @Test
  void aWalkLongerThanTheLimitIsNotCached() {
    Host[] hosts = hosts(40);
    HashWalks walks = new HashWalks(10);
    assertArrayEquals(walks.walk(1, hosts), walks.walk(1, hosts));
    assertEquals(0, walks.cachedHosts());
  }

  /** Clients that ask for ever new functions must not displace those that are in use. */
  @Test
  void functionsNeverSeenLoadedAreForgottenFirst() {
    FunctionTable table = new FunctionTable(40, 1_000);
    Host host = hosts(1)[0];
    FunctionState known = table.getOrCreate(1);
    table.getOrCreateEstimate(known, host).observe(1, NOW);
    assertSame(known, table.getOrCreate(1));
    for (int unknown = 100; unknown < 1_000; unknown++) {
      table.getOrCreateEstimate(table.getOrCreate(unknown), host);
      assertTrue(table.size() <= 40, "functions: " + table.size());
    }
    assertSame(known, table.getOrCreate(1));
    assertEquals(1, known.estimates.size());
  }

  @Test
  void estimatesAreLimitedOverAllFunctionsAndInOne() {
    FunctionTable table = new FunctionTable(1_000, 50);
    Host[] hosts = hosts(80);
    for (int function = 0; function < 100; function++) {
      table.getOrCreateEstimate(table.getOrCreate(function), hosts[function % 80]);
      table.getOrCreateEstimate(table.getOrCreate(function), hosts[(function + 1) % 80]);
      assertTrue(table.estimateCount() <= 50, "estimates: " + table.estimateCount());
    }
    FunctionState wide = table.getOrCreate(5_000);
    for (Host host : hosts) {
      table.getOrCreateEstimate(wide, host);
      assertTrue(table.estimateCount() <= 50, "estimates: " + table.estimateCount());
    }
    assertEquals(50, wide.estimates.size());
    hosts[79].forgetEstimates();
    assertEquals(49, table.estimateCount());
  }

  /** An invocation in flight keeps its estimate, even where the limit is exceeded by that. */
  @Test
  void estimatesInUseAreKept() {
    FunctionTable table = new FunctionTable(10, 1);
    Host[] hosts = hosts(2);
    InstanceEstimate first = table.getOrCreateEstimate(table.getOrCreate(1), hosts[0]);
    first.inFlight = 1;
    table.getOrCreateEstimate(table.getOrCreate(2), hosts[1]);
    assertSame(first, table.getOrCreate(1).estimateAt(hosts[0]));
  }

  @Test
  void theLimitsFollowTheMemory() {
    StateLimits small = StateLimits.fitting(400_000);
    StateLimits large = StateLimits.fitting(4_000_000);
    assertTrue(small.functions() * 200L + small.estimates() * 120L < 300_000);
    assertEquals(10 * small.functions(), large.functions(), 10);
    assertEquals(StateLimits.DEFAULTS, StateLimits.fitting(1L << 32));
  }
}
