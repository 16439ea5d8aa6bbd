package flintlead.testing.simulation.policy;

import flintlead.scheduling.api.InvocationSpec;
import java.util.List;
import java.util.Random;

/** Chooses a host for one attempt. */
interface HostChooser {

  /**
   * Chooses a host.
   *
   * @param candidates ready hosts that this invocation has not been sent to, in the order of their
   *     numbers; never empty
   * @return null to hold the invocation, as none is suitable now
   */
  KnownHost of(InvocationSpec call, List<KnownHost> candidates, Random random);

  /** An attempt is sent to the host. */
  default void sent(InvocationSpec call, KnownHost host) {}

  /** The attempt there has ended. */
  default void back(InvocationSpec call, KnownHost host) {}
}
