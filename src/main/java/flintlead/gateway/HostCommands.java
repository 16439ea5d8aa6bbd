package flintlead.gateway;

import flintlead.gateway.upstream.Exchange;
import flintlead.gateway.upstream.ExchangeResult;
import flintlead.gateway.upstream.HostLink;
import flintlead.ids.FunctionNames;
import flintlead.scheduling.api.Outcome;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.MessageWriter;

/** The scheduler's requests to hosts that are no invocations: load orders, unloads and probes. */
final class HostCommands {

  private final EventTimers timers;
  private final HostLinks links;
  private final FunctionNames functions;
  private final HostReportDecoder reports;
  private final SchedulingPolicy scheduler;
  private final Counters counters;
  private final Span loadTimeout;

  HostCommands(
      EventTimers timers,
      HostLinks links,
      FunctionNames functions,
      GatewayConfig.HostCapabilities hosts,
      SchedulingPolicy scheduler,
      Counters counters) {
    this.timers = timers;
    this.links = links;
    this.functions = functions;
    this.reports = new HostReportDecoder(hosts);
    this.scheduler = scheduler;
    this.counters = counters;
    this.loadTimeout = hosts.loadTimeout();
  }

  /** Has the host hold at least so many instances; the scheduler is told how that ended. */
  void load(long host, long function, int instances) {
    HostLink link = links.find(host);
    String name = functions.name(function);
    if (link == null || name == null) {
      timers.later(
          () -> scheduler.loadCompleted(host, function, Outcome.CONNECT_FAILED, Span.ZERO, 0));
      return;
    }
    LoadOrder order = new LoadOrder(host, function, name, instances);
    counters.loadOrders++;
    link.run(order);
    timers.at(timers.now().plus(loadTimeout), () -> order.timeOut(link));
  }

  /** Has the host drop idle instances; no answer is awaited. */
  void unload(long host, long function) {
    HostLink link = links.find(host);
    String name = functions.name(function);
    if (link != null && name != null) {
      link.run(new UnloadOrder(name));
    }
  }

  /** Asks the host for a sign of life and its load report. */
  void probe(long host) {
    HostLink link = links.find(host);
    if (link != null) {
      link.run(new Probe(host));
    }
  }

  /** Closes connections to the host that carry nothing. */
  void closeIdle(long host) {
    HostLink link = links.find(host);
    if (link != null) {
      link.closeIdle();
    }
  }

  /** An order to load instances. */
  private final class LoadOrder extends Exchange {

    private final long host;
    private final long function;
    private final String name;
    private final int instances;
    private final Moment startedAt = timers.now();

    LoadOrder(long host, long function, String name, int instances) {
      this.host = host;
      this.function = function;
      this.name = name;
      this.instances = instances;
    }

    /** An order for no instance only asks. */
    @Override
    protected boolean isNewWork() {
      return instances > 0;
    }

    @Override
    protected String method() {
      return "load";
    }

    @Override
    protected void params(MessageWriter frame) {
      frame.put("function", name).put("copies", instances);
    }

    @Override
    protected void ended(ExchangeResult result) {
      int present = (int) result.members().number("copies", 0);
      Outcome outcome = result.outcome() == Outcome.MISS ? Outcome.ERROR : result.outcome();
      scheduler.loadCompleted(host, function, outcome, timers.now().since(startedAt), present);
    }

    void timeOut(HostLink link) {
      if (!hasEnded()) {
        link.withdraw(this);
        scheduler.loadCompleted(host, function, Outcome.TIMEOUT, timers.now().since(startedAt), 0);
      }
    }
  }

  /** An order to drop idle instances. */
  private static final class UnloadOrder extends Exchange {

    private final String name;

    UnloadOrder(String name) {
      this.name = name;
    }

    @Override
    protected String method() {
      return "unload";
    }

    @Override
    protected void params(MessageWriter frame) {
      frame.put("function", name);
    }

    @Override
    protected void ended(ExchangeResult result) {
      // Instances that were not idle stay; nobody waits to hear.
    }
  }

  /** A health check. */
  private final class Probe extends Exchange {

    private final long host;
    private final Moment startedAt = timers.now();

    Probe(long host) {
      this.host = host;
    }

    @Override
    protected String method() {
      return "probe";
    }

    @Override
    protected void params(MessageWriter frame) {
      // A probe has no parameters.
    }

    @Override
    protected void ended(ExchangeResult result) {
      Span elapsed = timers.now().since(startedAt);
      scheduler.probeCompleted(host, result.outcome(), elapsed, reports.report(result));
    }
  }
}
