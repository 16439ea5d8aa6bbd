package flintlead.scheduling.api;

import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * Operations that a gateway offers to its scheduling policy. Each call takes effect at {@link
 * #now()}. Results are reported later, by calls on {@link SchedulingPolicy} and {@link
 * InvocationHandle}.
 */
public interface SchedulerContext {

  /** Returns the time of the current event; constant while the event is processed. */
  Moment now();

  /**
   * Sends an attempt of the invocation to the host. Attempts of an invocation are numbered 0, 1, 2
   * in the order of these calls.
   *
   * @param abandonAt time after which the host may stop working on it
   */
  void dispatch(long invocation, long host, Moment abandonAt);

  /** Cancels an attempt. Its end is still reported. */
  void cancel(long invocation, int attempt);

  /**
   * Gives the final answer: rejected. The client may safely retry.
   *
   * @param retryAfter time after which the client should retry; zero to leave it to the client
   */
  void throttle(long invocation, Span retryAfter);

  /** Gives the final answer: failed. The function may have run. */
  void fail(long invocation);

  /**
   * Orders a host to have at least that many instances of the function loaded; 0 only queries how
   * many are loaded.
   */
  void load(long host, long function, int instances);

  /** Allows a host to unload an idle instance of the function. */
  void unload(long host, long function);

  /** Requests a load report from the host. */
  void probe(long host);

  /** Closes idle connections to the host. */
  void closeIdle(long host);

  /** Starts or ends the subscription to the host list. */
  void subscribeHosts(boolean active);

  /** Requests the host list once. */
  void fetchHosts();

  /** Sends a message of at most 256 bytes to the policy of the gateway with that index. */
  void sendGossip(int gateway, byte[] message);

  /** Sends a message of at most 256 bytes to the policies of all other gateways. */
  void broadcastGossip(byte[] message);

  /**
   * Schedules a task. Running the returned object cancels it, so that the timer no longer retains
   * the objects that the task refers to.
   */
  Runnable schedule(Moment when, Runnable task);

  /** Returns the leases of the hosts. By default the host list always counts as current. */
  default HostLeases leases() {
    return HostLeases.ofAuthoritativeList();
  }

  /** Writes a line to the gateway's log. */
  void log(String line);

  /** Limits of what the policy remembers, from the memory of the gateway. */
  default StateLimits stateLimits() {
    return StateLimits.DEFAULTS;
  }
}
