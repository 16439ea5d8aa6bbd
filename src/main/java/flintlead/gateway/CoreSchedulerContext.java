package flintlead.gateway;

import flintlead.scheduling.api.SchedulerContext;
import flintlead.scheduling.api.StateLimits;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;
import org.slf4j.Logger;

/**
 * What the scheduler asks of the gateway, handed to whoever does it. The scheduler is made with
 * this context, and the parts that serve it are made with the scheduler: until {@link #connect}
 * only the clock, timers, gossip and log work.
 */
final class CoreSchedulerContext implements SchedulerContext {

  private final EventTimers timers;
  private final HostLeases leases;
  private final Logger log;
  private InvocationService invocations;
  private final StateLimits limits;
  private AttemptDispatcher attempts;
  private HostCommands hosts;
  private InvocationHandler.PeerChannel peers;

  CoreSchedulerContext(EventTimers timers, HostLeases leases, StateLimits limits, Logger log) {
    this.limits = limits;
    this.timers = timers;
    this.leases = leases;
    this.log = log;
  }

  /** Gives the parts that do what the scheduler asks. */
  void connect(InvocationService service, AttemptDispatcher dispatcher, HostCommands commands) {
    invocations = service;
    attempts = dispatcher;
    hosts = commands;
  }

  /** Gossip goes through this channel from now on; null drops it. */
  void usePeers(InvocationHandler.PeerChannel channel) {
    peers = channel;
  }

  @Override
  public Moment now() {
    return timers.now();
  }

  @Override
  public HostLeases leases() {
    return leases;
  }

  @Override
  public StateLimits stateLimits() {
    return limits;
  }

  @Override
  public Runnable schedule(Moment when, Runnable then) {
    return timers.at(when, then);
  }

  @Override
  public void dispatch(long invocation, long host, Moment abandonAt) {
    attempts.dispatch(invocation, host, abandonAt);
  }

  @Override
  public void cancel(long invocation, int attempt) {
    attempts.cancel(invocation, attempt);
  }

  @Override
  public void throttle(long invocation, Span retryAfter) {
    invocations.throttle(invocation, retryAfter);
  }

  @Override
  public void fail(long invocation) {
    invocations.fail(invocation);
  }

  @Override
  public void load(long host, long function, int instances) {
    hosts.load(host, function, instances);
  }

  @Override
  public void unload(long host, long function) {
    hosts.unload(host, function);
  }

  @Override
  public void probe(long host) {
    hosts.probe(host);
  }

  @Override
  public void closeIdle(long host) {
    hosts.closeIdle(host);
  }

  @Override
  public void subscribeHosts(boolean active) {
    // The owner of the host list pushes it; there is nothing to subscribe to.
  }

  @Override
  public void fetchHosts() {
    // As for the subscription.
  }

  @Override
  public void sendGossip(int gateway, byte[] message) {
    if (peers != null) {
      peers.sendGossip(gateway, message);
    }
  }

  @Override
  public void broadcastGossip(byte[] message) {
    if (peers != null) {
      peers.broadcastGossip(message);
    }
  }

  @Override
  public void log(String line) {
    log.atInfo().addKeyValue("detail", line).log("scheduler_event");
  }
}
