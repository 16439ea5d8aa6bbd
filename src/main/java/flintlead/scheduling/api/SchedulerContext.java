package flintlead.scheduling.api;

import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;

/**
 * What a scheduling policy asks of its gateway. Every call takes effect at {@link #now()}; answers
 * come back later as calls on {@link SchedulingPolicy} and {@link InvocationHandle}.
 */
public interface SchedulerContext {

  /** The time of the current event; the same for all of it. */
  Moment now();

  /**
   * Sends an attempt of the invocation to the host. Attempts are numbered 0, 1, 2 in the order of
   * these calls.
   *
   * @param abandonAt when the host may stop working on it
   */
  void dispatch(long invocation, long host, Moment abandonAt);

  /** Cancels an attempt; its end is still reported. */
  void cancel(long invocation, int attempt);

  /**
   * Final answer: rejected, it did not run and a retry is harmless.
   *
   * @param retryAfter when the client had best retry; zero for no advice
   */
  void throttle(long invocation, Span retryAfter);

  /** Final answer: failed, it may have run. */
  void fail(long invocation);

  /** Orders a host to hold at least that many instances of the function; 0 only asks. */
  void load(long host, long function, int instances);

  /** Allows a host to drop an idle instance of the function. */
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
   * Schedules a call; the returned call cancels it, so that a timer does not retain what it was
   * for.
   */
  Runnable schedule(Moment when, Runnable then);

  /** The leases of the hosts; by default the host list is always current. */
  default HostLeases leases() {
    return HostLeases.ofAuthoritativeList();
  }

  /** Writes a line to the gateway's log. */
  void log(String line);
}
