package flintlead.daemon;

import flintlead.discovery.watch.ListLimits;
import flintlead.gateway.downstream.FrontLimits;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.admission.MemoryBudget;
import flintlead.scheduling.api.StateLimits;

/**
 * Lowers the configured limits of a daemon to what its heap can hold, so that no client or host can
 * exhaust it. Does no I/O.
 */
final class MemoryLimits {

  /** Clients that may be at the pause limit at once without one of them being disconnected. */
  private static final int PAUSED_CLIENTS = 4;

  private static final int REGISTRY_CHARACTERS_PER_HOST = 256;

  private final MemoryBudget budget;

  MemoryLimits(MemoryBudget budget) {
    this.budget = budget;
  }

  AdmissionController.Limits admission(AdmissionController.Limits configured) {
    long bytes = Math.min(configured.maxBytes(), budget.invocationBytes());
    long unsentClose = Math.min(configured.unsentCloseBytes(), budget.unreadBytes());
    return new AdmissionController.Limits(
        configured.maxInvocations(),
        bytes,
        configured.freeShareMultiple(),
        configured.connectionWindow(),
        Math.min(configured.connectionWindowBytes(), bytes),
        Math.min(configured.unsentPauseBytes(), Math.max(1, unsentClose / PAUSED_CLIENTS)),
        unsentClose,
        configured.unsentTimeout());
  }

  FrontLimits front(FrontLimits configured) {
    return configured.withSharedBytes(budget.receivedBytes(), budget.unreadBytes());
  }

  UpstreamLimits upstream(UpstreamLimits configured) {
    return configured.withPartialMessageBytes(budget.hostResponseBytes());
  }

  /** A host of a registry has its text, and as much again as a host of the platform. */
  ListLimits registryList() {
    long hosts = budget.hosts();
    return new ListLimits(
        (int) Math.min(ListLimits.DEFAULTS.keys(), Math.max(1, hosts / 2)),
        Math.min(ListLimits.DEFAULTS.characters(), hosts * REGISTRY_CHARACTERS_PER_HOST));
  }

  StateLimits scheduler() {
    return StateLimits.fitting(budget.schedulerBytes());
  }

  long usedTokenBytes() {
    return budget.recentIdBytes();
  }
}
