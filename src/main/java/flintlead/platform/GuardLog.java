package flintlead.platform;

import flintlead.routing.guard.Invariant;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.lease.HostProof;
import flintlead.scheduling.lease.LeaseListener;
import flintlead.time.Span;
import java.util.function.LongFunction;
import org.slf4j.Logger;

/** Logs violations of invariants, and what becomes of the host list and of hosts without it. */
final class GuardLog implements InvariantMonitor.Listener, LeaseListener {

  private static final long MICROS_PER_MILLI = 1_000;

  private final Logger log;
  private LongFunction<String> hostNames = Long::toHexString;

  GuardLog(Logger log) {
    this.log = log;
  }

  /** Names hosts in this way from now on. */
  void useNames(LongFunction<String> names) {
    hostNames = names;
  }

  @Override
  public void violated(Invariant invariant, String id, String detail) {
    log.atError()
        .addKeyValue("invariant", invariant.key())
        .addKeyValue("id", id)
        .addKeyValue("detail", detail)
        .log("invariant_violated");
  }

  @Override
  public void listStale(Span age) {
    log.atWarn().addKeyValue("age_ms", age.micros() / MICROS_PER_MILLI).log("host_list_stale");
  }

  @Override
  public void listCurrent(Span staleFor) {
    log.atInfo()
        .addKeyValue("stale_for_ms", staleFor.micros() / MICROS_PER_MILLI)
        .log("host_list_current");
  }

  @Override
  public void hostChanged(long host, boolean usable, HostProof by) {
    log.atInfo()
        .addKeyValue("host", hostNames.apply(host))
        .addKeyValue("usable", usable)
        .addKeyValue("by", by.key())
        .log("host_state_changed");
  }
}
