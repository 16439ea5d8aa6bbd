package flintlead.gateway;

import flintlead.gateway.upstream.HostSpec;
import flintlead.ids.NameHash;
import flintlead.routing.admission.AdmissionController;
import flintlead.routing.pool.LayoutTransition;
import flintlead.routing.pool.PoolSnapshot;
import flintlead.routing.pool.RouteRequest;
import flintlead.scheduling.api.SchedulingPolicy;
import flintlead.scheduling.lease.HostLeases;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What a front sees of a gateway, handed to the gateway's parts. */
final class CoreInvocationHandler implements InvocationHandler {

  private final GatewayCore core;
  private final Transport transport;
  private final Map<String, Supplier<byte[]>> queries = new HashMap<>();
  private final List<ShutdownListener> shutdownListeners = new ArrayList<>();

  CoreInvocationHandler(GatewayCore core, Transport transport) {
    this.core = core;
    this.transport = transport;
  }

  /** Calls the task for each front, in the order in which they came. */
  void forEachFront(Consumer<ShutdownListener> task) {
    shutdownListeners.forEach(task);
  }

  @Override
  public EventExecutor loop() {
    return core.loop();
  }

  @Override
  public Transport transport() {
    return transport;
  }

  @Override
  public AdmissionController admission() {
    return core.admission();
  }

  @Override
  public long submit(
      InvocationRequest request,
      AdmissionController.Source source,
      ClientView client,
      Consumer<InvocationResponse> reply)
      throws InvalidInvocationException {
    return core.invocations().submit(request, source, client, reply);
  }

  @Override
  public void clientDisconnected(long invocation) {
    core.invocations().clientDisconnected(invocation);
  }

  @Override
  public boolean cancel(long invocation) {
    return core.invocations().cancel(invocation);
  }

  @Override
  public Span clientTimeout(String triggerType) {
    int index = triggerType == null ? -1 : core.config().triggerType(triggerType);
    return index < 0 ? null : core.config().triggerTypes().get(index).clientTimeout();
  }

  @Override
  public Moment lastHeardAt(String host) {
    return core.hosts().heardAt(host);
  }

  @Override
  public HostLeases leases() {
    return core.schedulerContext().leases();
  }

  @Override
  public void probe(String host) {
    core.commands().probe(NameHash.host(host));
  }

  @Override
  public void replaceHosts(List<HostSpec> list) {
    core.hosts().replaceHosts(HostDirectory.byNumber(list));
  }

  @Override
  public List<String> applyLayouts(LayoutTransition layouts, List<HostSpec> list) {
    return core.hosts().applyLayouts(layouts, list == null ? null : HostDirectory.byNumber(list));
  }

  @Override
  public List<RouteRequest> recentRequests(int limit) {
    return core.router().recentRequests(limit);
  }

  @Override
  public List<PoolSnapshot> pools() {
    return core.router().snapshots();
  }

  @Override
  public void usePeerChannel(PeerChannel channel) {
    core.schedulerContext().usePeers(channel);
  }

  @Override
  public void gossipReceived(int gateway, byte[] message) {
    core.scheduler().gossipReceived(gateway, message);
  }

  @Override
  public void gatewayCountChanged(int count) {
    core.scheduler().gatewayCountChanged(count);
  }

  @Override
  public void mergeObservation(long host, long function, int instances, Span age) {
    core.mergeObservation(host, function, instances, age);
  }

  @Override
  public void exportObservations(SchedulingPolicy.ObservationConsumer consumer) {
    core.scheduler().exportObservations(consumer);
  }

  @Override
  public CountersSnapshot counters() {
    return core.counters();
  }

  @Override
  public void registerQuery(String name, Supplier<byte[]> json) {
    queries.put(name, json);
  }

  @Override
  public byte[] answerQuery(String name) {
    Supplier<byte[]> json = queries.get(name);
    return json == null ? null : json.get();
  }

  @Override
  public void addShutdownListener(ShutdownListener listener) {
    shutdownListeners.add(listener);
  }
}
