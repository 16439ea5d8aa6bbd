package flintlead.scheduling.state;

import java.util.Arrays;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The hash walk of each function: the order in which hosts are searched for one that loads the
 * function. A walk has as many entries as there are hosts, so the cached walks are limited in
 * entries; the least recently used ones are computed again when they are needed.
 */
public final class HashWalks {

  private static final double TWO_TO_52 = 0x1p52;
  private static final double TWO_TO_MINUS_53 = 0x1p-53;
  private static final int DROPPED_BITS = 11;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxCachedHosts;

  /** Walks over {@link #hosts} by function, the least recently used first. */
  private final Map<Long, Host[]> cached = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  private Host[] hosts = new Host[0];
  private boolean equalWeights;
  private int cachedHosts;

  /**
   * Creates an empty cache.
   *
   * @param maxCachedHosts hosts in all cached walks together
   */
  public HashWalks(int maxCachedHosts) {
    this.maxCachedHosts = maxCachedHosts;
  }

  /**
   * Returns the hosts ordered by a hash of function id and host id (rendezvous hashing). Adding or
   * removing a host does not change the relative order of the others.
   *
   * @param listed an array that is never modified; walks are cached until another array is passed
   */
  public Host[] walk(long function, Host[] listed) {
    if (listed != hosts) {
      cached.clear();
      cachedHosts = 0;
      hosts = listed;
      equalWeights = haveEqualWeights(listed);
    }
    Host[] walk = cached.get(function);
    if (walk == null) {
      walk = compute(function);
      cache(function, walk);
    }
    return walk;
  }

  private void cache(long function, Host[] walk) {
    if (walk.length > maxCachedHosts) {
      return;
    }
    cached.put(function, walk);
    cachedHosts += walk.length;
    Iterator<Host[]> oldestFirst = cached.values().iterator();
    while (cachedHosts > maxCachedHosts) {
      cachedHosts -= oldestFirst.next().length;
      oldestFirst.remove();
    }
  }

  /** Number of hosts in all cached walks. */
  int cachedHosts() {
    return cachedHosts;
  }

  private Host[] compute(long function) {
    long seed = BitMixer.mix(function);
    Host[] walk = hosts.clone();
    if (equalWeights) {
      Arrays.sort(walk, Comparator.comparingLong(host -> BitMixer.mix(seed + host.id())));
    } else {
      sortByWeightedRendezvous(walk, seed);
    }
    return walk;
  }

  private static boolean haveEqualWeights(Host[] hosts) {
    for (Host host : hosts) {
      if (host.entry.weight() != hosts[0].entry.weight()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Sorts the walk by weighted rendezvous hashing (Schindelhauer and Schomaker, 2005, logarithmic
   * method). The probability that a host comes first is proportional to its weight, and changing
   * one weight does not change the relative order of the other hosts. With equal weights the result
   * is the order of the hash alone.
   */
  private static void sortByWeightedRendezvous(Host[] walk, long seed) {
    Map<Host, Double> distances = new IdentityHashMap<>();
    for (Host host : walk) {
      long hash = BitMixer.mix(seed + host.id());
      double uniform = ((hash >> DROPPED_BITS) + TWO_TO_52 + 0.5) * TWO_TO_MINUS_53;
      double weight = host.entry.weight();
      distances.put(host, weight > 0 ? -Math.log(1 - uniform) / weight : Double.POSITIVE_INFINITY);
    }
    Arrays.sort(walk, Comparator.comparingDouble(distances::get));
  }
}
