package flintlead.scheduling.api;

import flintlead.time.Span;
import java.util.List;

/**
 * Decides where and when the invocations of one gateway run. Called on the gateway's event loop
 * only, one call at a time. Events of a submitted invocation are reported to its {@link
 * InvocationHandle}.
 */
public interface SchedulingPolicy {

  /**
   * Accepts an invocation, which gets exactly one final answer unless its client disconnects.
   *
   * @param invocation id of the invocation, not used before in this gateway
   */
  InvocationHandle submit(long invocation, InvocationSpec spec);

  /** Replaces the host list. Hosts that are missing from it have left. */
  void replaceHosts(List<HostEntry> hosts);

  /** Adds hosts or updates their entries. */
  void updateHosts(List<HostEntry> hosts);

  /** A request for the host list failed, or the subscription to it ended. */
  void hostListUnavailable();

  /**
   * A load order ended.
   *
   * @param elapsed time since the order was sent
   * @param instances number of instances now loaded; 0 if the host does not report it
   */
  void loadCompleted(long host, long function, Outcome outcome, Span elapsed, int instances);

  /** A probe ended. A policy that sends no probes need not override this. */
  default void probeCompleted(long host, Outcome outcome, Span elapsed, float[] report) {}

  /**
   * A message arrived from the policy of another gateway. A policy that sends none need not
   * override this.
   */
  default void gossipReceived(int gateway, byte[] message) {}

  /**
   * The number of gateways that are alive or may be alive, as far as this gateway knows, changed.
   */
  default void gatewayCountChanged(int count) {}

  /**
   * A peer reported instances that it last saw loaded {@code age} ago. Each is reported once, after
   * this gateway has started.
   */
  default void mergeObservation(long host, long function, int instances, Span age) {}

  /**
   * Passes this gateway's own observations of loaded instances to the consumer, for a peer that has
   * just started.
   */
  default void exportObservations(ObservationConsumer consumer) {}

  /** Receives observations of loaded instances. */
  interface ObservationConsumer {

    /**
     * Receives one observation.
     *
     * @param age how long ago the instances were last used
     */
    void accept(long host, long function, int instances, Span age);
  }
}
