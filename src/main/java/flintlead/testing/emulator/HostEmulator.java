package flintlead.testing.emulator;

import flintlead.gateway.upstream.HostErrorCodes;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.jsonrpc.JsonMembers;
import flintlead.transport.jsonrpc.MessageId;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.MessageWriter;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import flintlead.transport.loop.StreamListener;
import flintlead.transport.loop.Transport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Random;
import java.util.Set;

/**
 * Emulates one host: it speaks the hosts' protocol, loads functions, works, and behaves wrongly by
 * script. On its event loop, but for what says otherwise.
 */
public final class HostEmulator {

  private final String name;
  private final HostModel model;
  private final EventExecutor loop;
  private final Transport transport;
  private final DeduplicationWindow repeats;
  private final ExecutionLog log;
  private final Random random;
  private final MessageReader reader = new MessageReader();
  private final ProcessState process = new ProcessState();
  private final SharedCores cores;
  private final InstanceLoader loader;
  private final InvocationExecutor executor;
  private final OverloadDetector overload;
  private final ArrivalRecorder arrivals;
  private final LoadOrders loadOrders;
  private final Set<EmulatedHostConnection> connections = new LinkedHashSet<>();
  private Transport.ListeningSocket listening;
  private Address address;
  private volatile boolean collapsed;

  /** The queue length that was reported last. */
  private int reportedWaiting;

  /** What is wrong with the host; changed by script while it runs. */
  public final HostFaults faults = new HostFaults();

  /**
   * A host that is not started yet.
   *
   * @param address where it listens; TCP port 0 for any free port, which it then keeps
   * @param repeats the memory of idempotency keys that it shares with its group
   * @param log where it records what reaches it and what ran
   * @param seed of the work of invocations that name none, and of faults
   */
  public <L extends EventExecutor & Transport> HostEmulator(
      String name,
      Address address,
      HostModel model,
      L eventLoop,
      FunctionStore store,
      DeduplicationWindow repeats,
      ExecutionLog log,
      long seed) {
    this.name = name;
    this.address = address;
    this.model = model;
    this.loop = eventLoop;
    this.transport = eventLoop;
    this.repeats = repeats;
    this.log = log;
    this.random = new Random(seed);
    this.cores = new SharedCores(loop, model.cores(), this::coreSpeed);
    this.loader = new InstanceLoader(loop, model, store, log, process, new LoadListener());
    this.executor = new InvocationExecutor(loop, model, cores, process, loader);
    this.overload = new OverloadDetector(loop, model);
    this.arrivals =
        new ArrivalRecorder(
            name, loop, model, process, log, reader, random, overload, this::collapse);
    this.loadOrders = new LoadOrders(name, loop, process, loader, log);
  }

  // ---- process ----

  /** Starts its process, warm or cold. Not from its event loop, as it waits for the port. */
  public void start(boolean cold) throws IOException {
    Transport.ListeningSocket bound = transport.listen(address, this::accept);
    address = bound.address();
    loop.execute(
        () -> {
          listening = bound;
          process.start(loop.now(), cold);
          log.starts.add(
              new ExecutionLog.HostStart(
                  name,
                  process.incarnation(),
                  process.startedAt(),
                  cold,
                  model.cores() * model.speed()));
        });
  }

  /** Its process dies: connections break, and all it had loaded or was working at is lost. */
  public void crash() {
    if (!process.isUp()) {
      return;
    }
    process.stop();
    listening.close();
    new ArrayList<>(connections).forEach(EmulatedHostConnection::abort);
    connections.clear();
    loader.clear();
    overload.clear();
    executor.clear();
  }

  /** Accepts no new invocation any more and notifies its gateways. */
  public void drain() {
    process.drain();
    log.drains.add(new ExecutionLog.DrainStart(name, process.incarnation(), loop.now()));
    connections.forEach(EmulatedHostConnection::sendDraining);
  }

  /** All idle instances become invalid, as after a release of all functions. */
  public void invalidateIdleInstances() {
    loader.unloadIdle();
  }

  private StreamListener accept(Stream stream) {
    EmulatedHostConnection connection =
        new EmulatedHostConnection(this, loop, stream, random, reader);
    connections.add(connection);
    return connection;
  }

  void disconnected(EmulatedHostConnection connection) {
    connections.remove(connection);
  }

  // ---- observation ----

  /** Its name in the host list. */
  public String name() {
    return name;
  }

  /** Where it listens; with the port that was chosen, once it was started. */
  public Address address() {
    return address;
  }

  /** Whether its process runs. */
  public boolean isUp() {
    return process.isUp();
  }

  /** When its current or last process started; null before the first. */
  public Moment startedAt() {
    return process.startedAt();
  }

  /** Whether it has collapsed under overload while it was cold; from any thread. */
  public boolean hasCollapsed() {
    return collapsed;
  }

  boolean isDraining() {
    return process.isDraining();
  }

  int waiting() {
    return executor.waiting();
  }

  /** The name of its process, which differs with every incarnation. */
  String processName() {
    return name + "#" + process.incarnation();
  }

  /** The age that it reports in its greeting; a warm one claims to be past its slow start. */
  long reportedAgeMs() {
    Span age = process.isCold() ? loop.now().since(process.startedAt()) : model.slowStartDuration();
    return age.micros() / 1000;
  }

  /** The queue length for a load report, which a fault keeps at its last value. */
  int reportedWaiting() {
    reportedWaiting = faults.staleReports ? reportedWaiting : executor.waiting();
    return reportedWaiting;
  }

  /** Observes it with regard to a function. */
  public HostObservation observe(String function) {
    FunctionInstances known = loader.find(function);
    FunctionInstances instances = known == null ? new FunctionInstances(function) : known;
    double remainingMs =
        isWarmingUp() ? overload.remainingMs(capacity()) : Double.POSITIVE_INFINITY;
    return new HostObservation(
        isAvailable(),
        instances.slots() - instances.working,
        instances.loading,
        instances.queue.size(),
        instances.slots(),
        cores.running(),
        model.cores(),
        coreSpeed(),
        loader.hasMemoryFor(FunctionInstances.DEFAULT_MEMORY_MB),
        remainingMs);
  }

  private boolean isAvailable() {
    boolean faulty =
        faults.neverAnswers
            || faults.readsNothing
            || faults.reportsFull
            || faults.failureRate != 0
            || loop.now().isBefore(faults.pausedUntil);
    return process.isUp() && !process.isDraining() && !faulty && !executor.isQueueFull();
  }

  /** Its state now. */
  public HostStatus status() {
    return new HostStatus(
        process.isUp(),
        process.isUp() && isWarmingUp(),
        process.isDraining(),
        executor.working(),
        executor.waiting(),
        loader.pending());
  }

  private double capacity() {
    return process.capacity(loop.now(), model);
  }

  private boolean isWarmingUp() {
    return capacity() < 1;
  }

  private double coreSpeed() {
    return model.speed() * capacity() / faults.slowdown;
  }

  // ---- invocations ----

  /** An invocation has arrived. */
  void invoke(
      EmulatedHostConnection connection, MessageId id, JsonMembers params, Moment receivedAt) {
    byte[] payload = params.json("payload");
    ExecutionLog.Arrival arrival =
        arrivals.arrived(connection.gateway(), params, payload, receivedAt);
    if (!process.isUp() || faults.neverAnswers || rejectedOrFailed(connection, id, arrival)) {
      return;
    }
    FunctionInstances instances = instancesFor(params, arrival.function);
    if (model.deduplicatedTypes().contains(arrival.triggerType)
        && !repeats.isNew(arrival.token, receivedAt)) {
      arrival.duplicate = true;
      connection.write(
          MessageWriter.result(connection.buffer(), id)
              .putJson("payload", payload)
              .put("copy", "warm")
              .put("crowd", instances.concurrency())
              .put("waiting", executor.waiting()));
      return;
    }
    EmulatedInvocation invocation =
        new EmulatedInvocation(connection, id, arrival, payload, instances);
    connection.register(invocation);
    if (instances.hasFreeSlot()) {
      executor.start(invocation);
    } else {
      queueOrReject(invocation);
    }
  }

  private void collapse() {
    collapsed = true;
    loop.scheduleAt(loop.now(), this::crash);
  }

  /** Returns whether the invocation was answered by an error before any work. */
  private boolean rejectedOrFailed(
      EmulatedHostConnection connection, MessageId id, ExecutionLog.Arrival arrival) {
    if (process.isDraining()) {
      reject(connection, id, arrival, HostErrorCodes.DRAINING, "draining");
    } else if (random.nextDouble() < faults.failureRate) {
      connection.sendError(id, HostErrorCodes.FAILED, "it failed", false);
    } else if (faults.reportsFull) {
      reject(connection, id, arrival, HostErrorCodes.FULL, "full");
    } else {
      return false;
    }
    return true;
  }

  private FunctionInstances instancesFor(JsonMembers params, String function) {
    FunctionInstances instances = loader.of(function);
    instances.memoryMb = params.number("memoryMb", instances.memoryMb);
    instances.slotsPerInstance =
        (int) Math.max(1, params.number("lanes", instances.slotsPerInstance));
    instances.loadTime = Span.ofMillis(params.number("loadMs", instances.loadTime.micros() / 1e3));
    return instances;
  }

  private void queueOrReject(EmulatedInvocation invocation) {
    FunctionInstances instances = invocation.instances;
    if (executor.isQueueFull()) {
      rejectAccepted(invocation, HostErrorCodes.FULL, "full", false);
      return;
    }
    if (instances.loaded > 0) {
      if (model.scalesOut() && instances.loading == 0) {
        loader.load(instances);
      }
    } else if (instances.loading > 0) {
      invocation.copy = "waited";
    } else if (!model.loadsOnMiss()) {
      rejectAccepted(invocation, HostErrorCodes.MISS, "not loaded here", false);
      return;
    } else if (!loader.load(instances)) {
      rejectAccepted(invocation, HostErrorCodes.FULL, "no memory", false);
      return;
    } else {
      invocation.copy = "began";
    }
    executor.enqueue(invocation);
  }

  /** Answers that it did not run; a retry of it is no duplicate. */
  private void rejectAccepted(
      EmulatedInvocation invocation, int code, String why, boolean loadFailed) {
    if (model.deduplicatedTypes().contains(invocation.arrival.triggerType)) {
      repeats.forget(invocation.arrival.token);
    }
    invocation.arrival.provenNotRun = true;
    invocation.connection.sendError(invocation.id, code, why, loadFailed);
  }

  private static void reject(
      EmulatedHostConnection connection,
      MessageId id,
      ExecutionLog.Arrival arrival,
      int code,
      String why) {
    arrival.provenNotRun = true;
    connection.sendError(id, code, why, false);
  }

  void cancel(EmulatedInvocation invocation) {
    executor.cancel(invocation);
  }

  // ---- loads ----

  void orderLoad(
      EmulatedHostConnection connection, MessageId id, JsonMembers params, Moment receivedAt) {
    loadOrders.arrived(connection, id, params, receivedAt);
  }

  /** Unloads a function that nothing uses. */
  void unload(String function) {
    FunctionInstances instances = loader.find(function);
    if (instances != null && instances.isUnused()) {
      loader.unload(instances);
    }
  }

  private final class LoadListener implements InstanceLoader.Listener {

    @Override
    public void loaded(FunctionInstances instances) {
      executor.startQueued(instances);
      loadOrders.loaded(instances);
    }

    @Override
    public void loadFailed(FunctionInstances instances) {
      loadOrders.loadFailed(instances);
      if (instances.loaded == 0 && instances.loading == 0) {
        executor
            .drainQueue(instances)
            .forEach(
                invocation ->
                    rejectAccepted(invocation, HostErrorCodes.MISS, "the load failed", true));
      }
    }
  }
}
