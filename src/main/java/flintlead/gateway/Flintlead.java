package flintlead.gateway;

import flintlead.gateway.upstream.HostSpec;
import flintlead.gateway.upstream.UpstreamLimits;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.pool.Layout;
import flintlead.routing.pool.LayoutTransition;
import flintlead.routing.pool.PoolSnapshot;
import flintlead.scheduling.Scheduler;
import flintlead.scheduling.api.SchedulingPolicyFactory;
import flintlead.scheduling.api.StateLimits;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import flintlead.transport.netty.NettyEventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One gateway: built, started, given hosts, asked to invoke, stopped. Safe from any thread;
 * everything it does happens on its own event loop, callbacks and completions included. Two in one
 * process share nothing.
 *
 * <pre>{@code
 * Flintlead gateway = Flintlead.of(config).start();
 * gateway.replaceHosts(List.of(HostSpec.ready("w-1", Address.parse("tcp:127.0.0.1:4001"))));
 * gateway.invoke(InvocationRequest.of("grade-spruce", "check")).thenAccept(response -> ...);
 * gateway.stop(Span.ofMillis(2000)).join();
 * }</pre>
 */
public final class Flintlead implements AutoCloseable {

  /** How a gateway is put together; every part has a default. */
  public static final class Builder {
    private final GatewayConfig config;
    private AdmissionController.Limits admissionLimits = AdmissionController.Limits.DEFAULTS;
    private UpstreamLimits upstreamLimits = UpstreamLimits.DEFAULTS;
    private StateLimits stateLimits = StateLimits.DEFAULTS;
    private long usedTokenBytes = 1 << 20;
    private long seed = System.nanoTime();
    private EventExecutor loop;
    private Transport transport;
    private SchedulingPolicyFactory schedulerFactory = Scheduler::new;
    private boolean peers;
    private Span registrySilence;

    private Builder(GatewayConfig config) {
      this.config = config;
    }

    /** Limits of what is accepted. */
    public Builder admissionLimits(AdmissionController.Limits limits) {
      this.admissionLimits = limits;
      return this;
    }

    /** Limits of the connections to hosts. */
    public Builder upstreamLimits(UpstreamLimits limits) {
      this.upstreamLimits = limits;
      return this;
    }

    /** Limits of what the scheduler remembers. */
    public Builder stateLimits(StateLimits limits) {
      this.stateLimits = limits;
      return this;
    }

    /** Heap for the tokens of invocations that must not run twice; 1 MiB by default. */
    public Builder usedTokenBytes(long bytes) {
      this.usedTokenBytes = bytes;
      return this;
    }

    /** The seed of all chance in this gateway; by default the time. */
    public Builder seed(long value) {
      this.seed = value;
      return this;
    }

    /** Another scheduler than the program's own, to compare them in simulations. */
    public Builder scheduledBy(SchedulingPolicyFactory factory) {
      this.schedulerFactory = factory;
      return this;
    }

    /**
     * There are other gateways that its scheduler may gossip with; see {@link
     * InvocationHandler#usePeerChannel}.
     */
    public Builder withPeers() {
      this.peers = true;
      return this;
    }

    /**
     * Its hosts come from a registry that may go out of reach: from then on only hosts that have
     * proven themselves that they take new work get any, as far as {@link
     * InvocationHandler#leases()} is told how old the list is.
     *
     * @param silence how long the registry may say nothing before the list counts as out of date
     */
    public Builder hostsFromRegistry(Span silence) {
      this.registrySilence = silence;
      return this;
    }

    /**
     * A loop and transport to run on, which stay their owner's; by default a thread and sockets of
     * its own.
     */
    public <L extends EventExecutor & Transport> Builder runOn(L shared) {
      this.loop = shared;
      this.transport = shared;
      return this;
    }

    /** Starts the gateway; it has no hosts yet and throttles what it can't queue. */
    public Flintlead start() {
      return new Flintlead(this);
    }
  }

  /** How far the gateway's life has come. */
  private enum Lifecycle {
    RUNNING,
    STOPPING,
    CLOSED
  }

  private static final Span CLOSE_GRACE = Span.ofMillis(1000);
  private static final Span CLOSED_RETRY_AFTER = Span.ofMillis(500);

  /** After the close its own thread lives this much longer, so that what was written leaves. */
  private static final Span LOOP_LINGER = Span.ofMillis(1);

  private final GatewayCore core;
  private final EventExecutor loop;

  /** The loop that this gateway made itself and closes; null if it was given one. */
  private final NettyEventLoop ownLoop;

  private final CoreInvocationHandler handler;
  private final AdmissionController.Source inProcess = new AdmissionController.Source();
  private final CompletableFuture<ShutdownReport> stopped = new CompletableFuture<>();

  /** Guards the lifecycle, so that nothing is posted to the loop after the close. */
  private final Object lock = new Object();

  private Lifecycle lifecycle = Lifecycle.RUNNING;

  /** Invocations answered at the end of the grace; on the loop only. */
  private int abandoned;

  private Flintlead(Builder builder) {
    String name = builder.config.gatewayName();
    Logger log = LoggerFactory.getLogger("flintlead." + name);
    ownLoop = builder.loop == null ? new NettyEventLoop(name) : null;
    loop = ownLoop != null ? ownLoop : builder.loop;
    Transport transport = ownLoop != null ? ownLoop : builder.transport;
    core =
        new GatewayCore(
            builder.config,
            new GatewayCore.Environment(
                loop,
                transport,
                builder.admissionLimits,
                builder.upstreamLimits,
                builder.stateLimits,
                builder.usedTokenBytes,
                builder.seed,
                log,
                builder.schedulerFactory,
                builder.peers,
                builder.registrySilence));
    handler = new CoreInvocationHandler(core, transport);
  }

  /** A builder of a gateway with this configuration. */
  public static Builder of(GatewayConfig config) {
    return new Builder(config);
  }

  /** The configuration that it was built with. */
  public GatewayConfig config() {
    return core.config();
  }

  /** Runs the task on the loop, or returns false once the gateway has closed. */
  private boolean post(Runnable task) {
    synchronized (lock) {
      if (lifecycle == Lifecycle.CLOSED) {
        return false;
      }
      // Under the lock: what is posted before the close is run before it.
      loop.execute(task);
      return true;
    }
  }

  /**
   * Submits an invocation.
   *
   * @return its one final response; ends with a {@link InvalidInvocationException} if the request
   *     is invalid. Cancelling the future means that its client has left.
   */
  public CompletableFuture<InvocationResponse> invoke(InvocationRequest request) {
    CompletableFuture<InvocationResponse> response = new CompletableFuture<>();
    Moment invokedAt = loop.polls().readClock();
    if (!post(() -> submit(request, response, invokedAt))) {
      response.complete(
          InvocationResponse.throttled(CLOSED_RETRY_AFTER, 0, "the gateway has stopped"));
    }
    return response;
  }

  private void submit(
      InvocationRequest request, CompletableFuture<InvocationResponse> response, Moment invokedAt) {
    if (response.isDone()) {
      return;
    }
    try {
      long invocation =
          core.invocations()
              .submit(
                  request, inProcess, ClientView.of(response, invokedAt, loop), response::complete);
      if (invocation != InvocationService.REJECTED && !response.isDone()) {
        response.whenComplete(
            (any, failure) -> {
              if (response.isCancelled()) {
                post(() -> core.invocations().clientDisconnected(invocation));
              }
            });
      }
    } catch (InvalidInvocationException e) {
      response.completeExceptionally(e);
    }
  }

  /**
   * Replaces the whole list of hosts.
   *
   * @throws IllegalArgumentException if names collide; the list before stays
   */
  public void replaceHosts(List<HostSpec> list) {
    Map<Long, HostSpec> byNumber = HostDirectory.byNumber(list);
    post(() -> core.hosts().replaceHosts(byNumber));
  }

  /**
   * Replaces pools and routes. Invocations that were accepted stay in their pools to their final
   * responses.
   *
   * @return ends when they are in force; with an IllegalStateException if too many pools of older
   *     layouts are still in use, and the layout before stays, or if the gateway has closed
   * @throws IllegalArgumentException if something in the layout is wrong; the layout before stays
   */
  public CompletableFuture<Void> applyLayout(Layout layout) {
    List<String> problems = layout.validate();
    if (!problems.isEmpty()) {
      throw new IllegalArgumentException(String.join("; ", problems));
    }
    return onLoop(
        () -> {
          List<String> obstacles = core.hosts().applyLayouts(LayoutTransition.of(layout), null);
          if (!obstacles.isEmpty()) {
            throw new IllegalStateException(String.join("; ", obstacles));
          }
          return null;
        });
  }

  /** A snapshot of each pool; ends with an IllegalStateException once the gateway has closed. */
  public CompletableFuture<List<PoolSnapshot>> pools() {
    return onLoop(core.router()::snapshots);
  }

  /**
   * What has been counted so far; ends with an IllegalStateException once the gateway has closed.
   */
  public CompletableFuture<CountersSnapshot> counters() {
    return onLoop(core::counters);
  }

  /** Computes a value on the loop; an IllegalStateException ends the future. */
  private <T> CompletableFuture<T> onLoop(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    boolean posted =
        post(
            () -> {
              try {
                result.complete(task.get());
              } catch (IllegalStateException e) {
                result.completeExceptionally(e);
              }
            });
    if (!posted) {
      result.completeExceptionally(new IllegalStateException("the gateway has closed"));
    }
    return result;
  }

  /**
   * Calls the task on the gateway's loop with what a front needs.
   *
   * @throws IllegalStateException if the gateway has closed
   */
  public void withHandler(Consumer<InvocationHandler> task) {
    if (!post(() -> task.accept(handler))) {
      throw new IllegalStateException("the gateway has closed");
    }
  }

  // ---- shutdown ----

  /**
   * Accepts nothing more from now on; waits up to the grace for the responses to what it has,
   * answers the rest at once, and closes. A second stop, or one with another grace, changes nothing
   * about the first.
   */
  public CompletableFuture<ShutdownReport> stop(Span grace) {
    if (beginStop()) {
      post(() -> drain(grace));
    }
    return stopped;
  }

  /** Moves from RUNNING to STOPPING; returns whether it was running. */
  private boolean beginStop() {
    synchronized (lock) {
      boolean running = lifecycle == Lifecycle.RUNNING;
      if (running) {
        lifecycle = Lifecycle.STOPPING;
      }
      return running;
    }
  }

  private void drain(Span grace) {
    int pending = core.pendingResponses();
    handler.forEachFront(InvocationHandler.ShutdownListener::stopAccepting);
    core.invocations()
        .stopAccepting(
            () -> {
              shutDown(InvocationHandler.ShutdownListener::close);
              stopped.complete(new ShutdownReport(pending, abandoned));
            });
    loop.scheduleAfter(grace, () -> abandoned = core.invocations().abandonAll());
  }

  /**
   * Drops everything at once, as the end of the process would: what it had accepted gets no
   * response.
   */
  public void kill() {
    beginStop();
    post(
        () -> {
          shutDown(InvocationHandler.ShutdownListener::abort);
          stopped.complete(new ShutdownReport(core.pendingResponses(), 0));
        });
  }

  private void shutDown(Consumer<InvocationHandler.ShutdownListener> endFront) {
    synchronized (lock) {
      if (lifecycle == Lifecycle.CLOSED) {
        return;
      }
      lifecycle = Lifecycle.CLOSED;
    }
    handler.forEachFront(endFront);
    core.close();
    if (ownLoop != null) {
      // What was written in this event leaves when it ends; the thread goes after that.
      loop.scheduleAfter(LOOP_LINGER, ownLoop::close);
    }
  }

  /** Stops with a short grace and waits for it. */
  @Override
  public void close() {
    stop(CLOSE_GRACE).join();
  }
}
