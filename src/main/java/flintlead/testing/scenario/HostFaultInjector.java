package flintlead.testing.scenario;

import flintlead.scheduling.api.HostEntry;
import flintlead.testing.emulator.FunctionStore;
import flintlead.testing.emulator.HostEmulator;
import flintlead.testing.emulator.HostFaults;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.ObjDoubleConsumer;

/**
 * Injects faults into hosts and their store: faulty behaviour for a time, and restarts. On the host
 * loop.
 */
final class HostFaultInjector {

  /** From the notice that a host drains until its process ends. */
  private static final Span DEPLOY_DRAIN_TIME = Span.ofMillis(1_500);

  private static final Span DEPLOY_DOWNTIME = Span.ofMillis(500);
  private static final Span AGEING_STEP = Span.ofMillis(100);

  /** The list learns of a host without power after this multiple of its usual delay. */
  private static final double POWER_LOSS_DELAY_MULTIPLE = 5;

  private final RunContext context;
  private final HostFleet hosts;
  private final HostDirectory directory;

  HostFaultInjector(RunContext context, HostFleet hosts, HostDirectory directory) {
    this.context = context;
    this.hosts = hosts;
    this.directory = directory;
  }

  // ---- faulty behaviour ----

  /** Makes hosts, or the store, behave wrongly for the fault's duration. */
  void inject(Fault fault, List<HostEmulator> selected) {
    switch (fault.kind()) {
      case HANG -> setFlag(fault, selected, (faults, on) -> faults.neverAnswers = on);
      case FULL -> setFlag(fault, selected, (faults, on) -> faults.reportsFull = on);
      case REPORT_LATE -> setFlag(fault, selected, (faults, on) -> faults.staleReports = on);
      case SILENT ->
          during(fault, selected, host -> host.faults.readsNothing = true, this::endSilence);
      case FAST_ERRORS -> setRate(fault, selected, (faults, rate) -> faults.failureRate = rate);
      case RESET -> setRate(fault, selected, (faults, rate) -> faults.resetRate = rate);
      case HALF_ANSWER -> setRate(fault, selected, (faults, rate) -> faults.truncationRate = rate);
      case WRONG_ID -> setRate(fault, selected, (faults, rate) -> faults.wrongIdRate = rate);
      case PAUSES -> {
        Moment until = context.hostLoop.now().plus(fault.duration());
        selected.forEach(host -> pauseRepeatedly(host, fault, until));
      }
      case FLUSH -> hosts.hosts().forEach(HostEmulator::invalidateIdleInstances);
      case STORE_SLOW -> slowStore(fault);
      default -> throw new IllegalStateException("no script for " + fault.kind());
    }
  }

  private void setFlag(
      Fault fault, List<HostEmulator> selected, BiConsumer<HostFaults, Boolean> flag) {
    during(
        fault,
        selected,
        host -> flag.accept(host.faults, true),
        host -> flag.accept(host.faults, false));
  }

  /** Sets a share of responses or invocations to the fault's severity. */
  private void setRate(
      Fault fault, List<HostEmulator> selected, ObjDoubleConsumer<HostFaults> rate) {
    during(
        fault,
        selected,
        host -> rate.accept(host.faults, Math.min(1, fault.severity())),
        host -> rate.accept(host.faults, 0));
  }

  private void during(
      Fault fault,
      List<HostEmulator> selected,
      Consumer<HostEmulator> begin,
      Consumer<HostEmulator> end) {
    selected.forEach(begin);
    context.hostLoop.scheduleAfter(fault.duration(), () -> selected.forEach(end));
  }

  /** What lies unread in its connections is lost with its process. */
  private void endSilence(HostEmulator host) {
    host.faults.readsNothing = false;
    host.crash();
    hosts.startLater(host, Span.ZERO);
  }

  private void pauseRepeatedly(HostEmulator host, Fault fault, Moment until) {
    Moment now = context.hostLoop.now();
    if (now.isBefore(until)) {
      host.faults.pausedUntil = now.plus(fault.episodeDuration());
      Span next = fault.episodeDuration().times(2 + 3 * context.scriptRandom.nextDouble());
      context.hostLoop.scheduleAfter(next, () -> pauseRepeatedly(host, fault, until));
    }
  }

  /** Slow for the whole duration, and stopped for a time in the middle. */
  private void slowStore(Fault fault) {
    FunctionStore store = hosts.store();
    store.setSlowdown(fault.severity());
    context.hostLoop.scheduleAfter(
        fault.duration().times(0.5), () -> store.pauseFor(fault.episodeDuration()));
    context.hostLoop.scheduleAfter(fault.duration(), () -> store.setSlowdown(1));
  }

  // ---- restarts ----

  /** Stops hosts, which come back cold. */
  void injectRestart(Fault fault, List<HostEmulator> selected) {
    switch (fault.kind()) {
      case DEPLOY -> deploy(fault, selected);
      case ZONE_LOSS -> {
        int zone = context.scriptRandom.nextInt(context.scenario.zones());
        List<HostEmulator> inZone =
            hosts.hosts().stream().filter(host -> hosts.zone(host.name()) == zone).toList();
        hosts.restart(inZone, fault.duration());
      }
      case MASS_RESTART -> hosts.restart(selected, fault.episodeDuration());
      case POWER -> selected.forEach(host -> losePower(host, fault));
      case AGEING -> {
        Moment since = context.hostLoop.now();
        selected.forEach(host -> age(host, fault, since));
      }
      default -> throw new IllegalStateException("no restart for " + fault.kind());
    }
  }

  /** A rolling deployment, one host after the other, evenly over the fault's duration. */
  private void deploy(Fault fault, List<HostEmulator> selected) {
    double stepMicros = fault.duration().micros() / (double) selected.size();
    for (int i = 0; i < selected.size(); i++) {
      HostEmulator host = selected.get(i);
      context.hostLoop.scheduleAfter(new Span((long) (i * stepMicros)), () -> replace(host));
    }
  }

  /** One step of a rolling deployment: drain, stop, come back cold. */
  private void replace(HostEmulator host) {
    directory.publish(hosts.spec(host).withState(HostEntry.State.DRAINING));
    context.hostLoop.scheduleAfter(
        DEPLOY_DRAIN_TIME, () -> hosts.restart(List.of(host), DEPLOY_DOWNTIME));
  }

  /** A machine without power: the list learns of it later than of a process that died. */
  private void losePower(HostEmulator host, Fault fault) {
    if (!host.isUp()) {
      return;
    }
    NetworkFaults network = context.environment.networkFaults();
    network.powerOff(hosts.machineOf(host));
    host.crash();
    context.hostLoop.scheduleAfter(
        context.scenario.hostListDelay().times(POWER_LOSS_DELAY_MULTIPLE),
        () -> {
          if (!host.isUp()) {
            directory.remove(host.name());
          }
        });
    context.hostLoop.scheduleAfter(
        fault.duration(),
        () -> {
          network.powerOn(hosts.machineOf(host));
          hosts.startLater(host, Span.ZERO);
        });
  }

  /** It grows slower and slower until it restarts. */
  private void age(HostEmulator host, Fault fault, Moment since) {
    double progress = context.hostLoop.now().since(since).ratioTo(fault.duration());
    if (progress >= 1) {
      host.faults.slowdown = 1;
      hosts.restart(List.of(host), fault.episodeDuration());
      return;
    }
    host.faults.slowdown = 1 + (fault.severity() - 1) * progress;
    context.hostLoop.scheduleAfter(AGEING_STEP, () -> age(host, fault, since));
  }
}
