package flintlead.testing.simulation.policy;

import flintlead.scheduling.api.HostEntry;

/** A host as a gateway with a baseline policy knows it. */
final class KnownHost {

  final long number;
  HostEntry entry;

  /** Attempts of this gateway that are outstanding there. */
  int inFlight;

  KnownHost(HostEntry entry) {
    this.number = entry.host();
    this.entry = entry;
  }
}
