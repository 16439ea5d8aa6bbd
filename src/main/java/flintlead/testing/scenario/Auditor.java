package flintlead.testing.scenario;

import flintlead.gateway.GatewayConfig;
import flintlead.scheduling.api.TriggerType.Group;
import flintlead.testing.emulator.ExecutionLog;
import flintlead.testing.emulator.HostModel;
import flintlead.time.Moment;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Audits the five rules by the hosts' execution log, the clients' attempts and the notices that
 * gateways were given. It shares no code with gateways or scheduling: a fault common to both would
 * go unnoticed. For one audit by one thread.
 */
public final class Auditor {

  /**
   * A rule that was broken.
   *
   * @param rule 1 to 5
   * @param what happened
   */
  public record Violation(int rule, String what) {
    @Override
    public String toString() {
      return "rule " + rule + ": " + what;
    }
  }

  /**
   * A time in which the fault script kept a gateway from doing anything: what fell due then is due
   * at its end.
   */
  public record GatewayStall(String gateway, Moment from, Moment to) {}

  /**
   * A time in which a link was cut: what was sent before arrives when it is restored, if at all.
   */
  public record LinkOutage(String gateway, String host, Moment from, Moment to) {}

  private final GatewayConfig config;
  private final HostModel hostModel;
  private final List<GatewayStall> stalls;
  private final List<LinkOutage> outages;
  private final Violations violations = new Violations();

  /** An auditor of a run without cut links. */
  public Auditor(GatewayConfig config, HostModel hostModel, List<GatewayStall> stalls) {
    this(config, hostModel, stalls, List.of());
  }

  /**
   * An auditor of one run.
   *
   * @param config the rules' values and the trigger types
   * @param hostModel how fast hosts warm up
   */
  public Auditor(
      GatewayConfig config,
      HostModel hostModel,
      List<GatewayStall> stalls,
      List<LinkOutage> outages) {
    this.config = config;
    this.hostModel = hostModel;
    this.stalls = stalls;
    this.outages = outages;
  }

  /**
   * Audits all rules.
   *
   * @param groupOfHost the group that each host belongs to, by the kind of group
   * @return the first violations, none where all rules held
   */
  public List<Violation> audit(
      ExecutionLog log,
      List<ClientAttempt> attempts,
      List<HostNotice> notices,
      Map<Group, ToIntFunction<String>> groupOfHost) {
    new ResponseAudit(config, stalls, violations).audit(attempts);
    new ExecutionAudit(config, groupOfHost, violations).audit(log, attempts);
    new DrainAudit(config, outages, violations).audit(log, notices);
    new ColdStartAudit(hostModel, violations).audit(log);
    new LoadOrderAudit(config, violations).audit(log, attempts);
    return violations.list();
  }
}
