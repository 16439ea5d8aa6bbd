package flintlead.testing.scenario;

import flintlead.testing.emulator.HostObservation;

/**
 * Observes hosts directly, as no gateway can, for a policy that estimates what any policy could
 * achieve.
 */
public interface HostObserver {

  /**
   * The state of a host with regard to a function.
   *
   * @param host the number that gateways know it by
   * @param function the number that gateways know it by
   * @return null where there is no such host, or the function was never invoked
   */
  HostObservation observe(long host, long function);
}
