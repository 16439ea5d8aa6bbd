package flintlead.transport.dial;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/**
 * Selects among the addresses of one host, in order of preference.
 *
 * <p>After RFC 8305 ("Happy Eyeballs"): address families alternate (section 4), dials are staggered
 * instead of waiting for the failure of the one before (section 5), and the last address that
 * worked goes first. Beyond it, since connections live long: an address that failed is left alone
 * for a backoff that doubles and has jitter; one that comes back serves a probation before it is
 * preferred again, the longer the more often it has failed, so that a flapping address is not
 * returned to each time it comes up. Not thread-safe.
 *
 * @param <A> an address
 */
public final class AddressSelector<A> {

  /** The state of an address; {@link AddressState} has the transitions. */
  public enum State {
    /** Never connected. */
    UNTRIED,
    /** Connected and in use. */
    UP,
    /** Connected but silent, which may be the host's fault. */
    SUSPECT,
    /** Failed and waiting for its backoff, or being dialled again. */
    DOWN,
    /** Connected again after a failure, and not preferred yet. */
    PROBATION
  }

  /** How an address fails. */
  public enum FailureKind {
    /** The connection could not be established. */
    REFUSED,
    /** The connection was accepted, but no greeting came in time. */
    HANDSHAKE_TIMEOUT,
    /** Nothing is received while the host answers elsewhere. */
    UNRESPONSIVE,
    /** The connection broke or carried what is not the protocol. */
    RESET,
    /** Another host, or another process of the same name, answered there. */
    WRONG_HOST
  }

  /**
   * Between two dials. RFC 8305 recommends 250 ms for the internet and 10 ms at least; hosts are
   * near.
   */
  public static final Span STAGGER = Span.ofMillis(50);

  private static final Span FIRST_BACKOFF = Span.ofMillis(50);
  private static final Span MAX_BACKOFF = Span.ofMillis(5_000);

  /** Another host behind an address is a fault that does not pass by itself. */
  private static final Span WRONG_HOST_BACKOFF = Span.ofMillis(30_000);

  private final Random random;
  private final Function<A, Object> family;

  /** In order of preference. */
  private Map<A, AddressState> states = new LinkedHashMap<>();

  private A lastWorked;
  private Moment lastDialAt = new Moment(Long.MIN_VALUE / 2);

  /**
   * A selector for one host.
   *
   * @param ordered the addresses, the most preferred first
   * @param family of an address; families alternate
   * @param random for the jitter of backoffs
   */
  public AddressSelector(List<A> ordered, Function<A, Object> family, Random random) {
    this.random = random;
    this.family = family;
    addresses(ordered);
  }

  /** Replaces the addresses; the state of those that stay is kept. */
  public void addresses(List<A> ordered) {
    Map<A, AddressState> next = new LinkedHashMap<>();
    for (A address : alternateFamilies(ordered)) {
      next.put(address, states.getOrDefault(address, new AddressState()));
    }
    states = next;
    if (!states.containsKey(lastWorked)) {
      lastWorked = null;
    }
  }

  /**
   * The first of each family in the order in which families first appear, then the second of each,
   * and so on.
   */
  private List<A> alternateFamilies(List<A> ordered) {
    Map<Object, List<A>> families = new LinkedHashMap<>();
    for (A address : ordered) {
      families.computeIfAbsent(family.apply(address), any -> new ArrayList<>()).add(address);
    }
    List<A> alternating = new ArrayList<>();
    for (int i = 0; alternating.size() < ordered.size(); i++) {
      for (List<A> members : families.values()) {
        if (i < members.size()) {
          alternating.add(members.get(i));
        }
      }
    }
    return alternating;
  }

  /** The addresses in order of preference. */
  public List<A> addresses() {
    return new ArrayList<>(states.keySet());
  }

  /** The state of an address; {@link State#DOWN} for an unknown one. */
  public State state(A address) {
    AddressState state = states.get(address);
    return state == null ? State.DOWN : state.state();
  }

  /**
   * The place of an address in the order of preference, 0 for the best; the largest number for an
   * unknown one.
   */
  public int rank(A address) {
    int rank = 0;
    for (A each : states.keySet()) {
      if (each.equals(address)) {
        return rank;
      }
      rank++;
    }
    return Integer.MAX_VALUE;
  }

  // ---- dialling ----

  /**
   * The address to dial now; null if there is none, or it is too early.
   *
   * @param busy addresses that are being dialled already or have a connection in use
   * @param urgent whether a request waits for a connection and no other connection takes it
   */
  public A nextToDial(Moment now, List<A> busy, boolean urgent) {
    if (now.since(lastDialAt).isShorterThan(STAGGER) && !busy.isEmpty()) {
      return null;
    }
    A best = null;
    for (Map.Entry<A, AddressState> entry : states.entrySet()) {
      A address = entry.getKey();
      if (busy.contains(address) || now.isBefore(entry.getValue().notBefore())) {
        continue;
      }
      if (urgent && address.equals(lastWorked)) {
        return address;
      }
      // One that has just failed comes after all that have not: it would use up the attempts of an
      // invocation.
      if (best == null || state(best) == State.DOWN && state(address) != State.DOWN) {
        best = address;
      }
    }
    return best;
  }

  /** When {@link #nextToDial} may return an address; null where there is none to wait for. */
  public Moment nextDialAt(Moment now, List<A> busy) {
    Moment staggered = busy.isEmpty() ? now : lastDialAt.plus(STAGGER);
    Moment soonest = null;
    for (Map.Entry<A, AddressState> entry : states.entrySet()) {
      if (!busy.contains(entry.getKey())) {
        Moment at = Moment.later(entry.getValue().notBefore(), staggered);
        soonest = soonest == null ? at : Moment.earlier(soonest, at);
      }
    }
    return soonest;
  }

  /** A dial has begun. */
  public void dialStarted(A address, Moment now) {
    lastDialAt = now;
  }

  // ---- what happens on connections ----

  /** A connection to the address is established, and the host has identified itself. */
  public void connected(A address, Moment now) {
    AddressState state = states.get(address);
    if (state == null) {
      return;
    }
    state.connected(now);
    if (state.state() == State.UP) {
      lastWorked = address;
    }
  }

  /**
   * Something was received from the address.
   *
   * @return whether it is up, and has therefore served its probation if it had one
   */
  public boolean recordActivity(A address, Moment now) {
    AddressState state = states.get(address);
    if (state == null) {
      return false;
    }
    state.activity(now);
    return state.state() == State.UP;
  }

  /** The address has become silent, which may be the host's fault. */
  public void markSuspect(A address) {
    AddressState state = states.get(address);
    if (state != null) {
      state.suspected();
    }
  }

  /** A dial to the address or a connection to it has failed. */
  public void recordFailure(A address, FailureKind symptom, Moment now) {
    AddressState state = states.get(address);
    if (state == null) {
      return;
    }
    double jitter = 0.5 + 0.5 * random.nextDouble();
    if (symptom == FailureKind.WRONG_HOST) {
      state.failed(WRONG_HOST_BACKOFF, WRONG_HOST_BACKOFF, jitter, now);
    } else {
      state.failed(FIRST_BACKOFF, MAX_BACKOFF, jitter, now);
    }
    if (address.equals(lastWorked)) {
      lastWorked = null;
    }
  }

  // ---- choosing among open connections ----

  /**
   * Whether the address may take new requests: it is up, or nothing better is open.
   *
   * @param open addresses with an established connection
   */
  public boolean mayServe(A address, List<A> open) {
    State state = state(address);
    if (state == State.UP) {
      return true;
    }
    return open.stream().noneMatch(each -> state(each) == State.UP)
        && (state == State.PROBATION
            || open.stream().noneMatch(each -> state(each) == State.PROBATION));
  }

  /**
   * An address better than the one in use that is worth a connection in the background; null for
   * none.
   *
   * @param serving the address in use
   * @param busy addresses that are being dialled already or have a connection
   */
  public A betterCandidate(A serving, Moment now, List<A> busy) {
    for (Map.Entry<A, AddressState> entry : states.entrySet()) {
      A address = entry.getKey();
      if (address.equals(serving)) {
        return null;
      }
      AddressState state = entry.getValue();
      if (!busy.contains(address)
          && !now.isBefore(state.notBefore())
          && state.state() == State.DOWN) {
        return address;
      }
    }
    return null;
  }
}
