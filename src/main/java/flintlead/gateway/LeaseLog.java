package flintlead.gateway;

import flintlead.scheduling.lease.HostEvidence;
import flintlead.scheduling.lease.LeaseListener;
import flintlead.time.Span;
import java.util.function.LongFunction;
import org.slf4j.Logger;

/** Logs what becomes of the host list, and of hosts while it is not current. */
public final class LeaseLog implements LeaseListener {

  private static final long MICROS_PER_MILLI = 1_000;

  private final Logger log;
  private final LongFunction<String> hostNames;

  /**
   * Creates a log of one gateway's leases.
   *
   * @param hostNames the name of the host with that number
   */
  public LeaseLog(Logger log, LongFunction<String> hostNames) {
    this.log = log;
    this.hostNames = hostNames;
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
  public void hostChanged(long host, boolean usable, HostEvidence by) {
    log.atInfo()
        .addKeyValue("host", hostNames.apply(host))
        .addKeyValue("usable", usable)
        .addKeyValue("by", by.key())
        .log("host_state_changed");
  }
}
