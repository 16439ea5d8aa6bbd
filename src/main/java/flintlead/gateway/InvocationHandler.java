package flintlead.gateway;

import flintlead.gateway.upstream.HostSpec;
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
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The gateway as fronts, peers and the daemon see it. Every call has to come from the gateway's
 * event loop, and every callback comes there.
 */
public interface InvocationHandler {

  /** The gateway's event loop. */
  EventExecutor loop();

  /** The transport that belongs to the loop. */
  Transport transport();

  /** The gateway's admission control. */
  AdmissionController admission();

  /**
   * Accepts the invocation, or rejects it with a throttled response.
   *
   * @param source whose share of the gateway's capacity it takes
   * @param client what is known of its client
   * @param reply hears the one final response, perhaps within this call
   * @return its number; -1 if it was rejected
   * @throws InvalidInvocationException if the request is invalid; then there is no response
   */
  long submit(
      InvocationRequest request,
      AdmissionController.Source source,
      ClientView client,
      Consumer<InvocationResponse> reply)
      throws InvalidInvocationException;

  /** The invocation's client has left: there is no response. */
  void clientDisconnected(long invocation);

  /** The client cancels the invocation: it ends as errored. False if it had its response. */
  boolean cancel(long invocation);

  /** The client timeout of a trigger type; null if there is none of that name. */
  Span clientTimeout(String triggerType);

  /** When a host last answered anything; null if it never did or is not in the list. */
  Moment lastHeardAt(String host);

  /** The leases of the hosts; whoever follows a registry tells them how old its list is. */
  HostLeases leases();

  /** Sends the host a health check. */
  void probe(String host);

  /**
   * Replaces the whole list of hosts.
   *
   * @throws IllegalArgumentException if names collide; the list before stays
   */
  void replaceHosts(List<HostSpec> list);

  /**
   * Replaces the layouts and the list of hosts in one event.
   *
   * @param list null for the hosts as they are
   * @return what stands in the way; empty if it is done
   */
  List<String> applyLayouts(LayoutTransition layouts, List<HostSpec> list);

  /** The latest route requests, at most so many: for estimates of what new routes would move. */
  List<RouteRequest> recentRequests(int limit);

  /** A snapshot of each pool. */
  List<PoolSnapshot> pools();

  /** Gossip of the scheduler goes through this channel from now on; null drops it. */
  void usePeerChannel(PeerChannel channel);

  /** Gossip of another gateway's scheduler. */
  void gossipReceived(int gateway, byte[] message);

  /** So many gateways are alive or may be. */
  void gatewayCountChanged(int count);

  /** Another gateway observed the instances, that long ago. */
  void mergeObservation(long host, long function, int instances, Span age);

  /** Gives the consumer what this gateway's scheduler has observed itself. */
  void exportObservations(SchedulingPolicy.ObservationConsumer consumer);

  /** Carries gossip between the schedulers of gateways. */
  interface PeerChannel {

    /** Sends a message to the gateway of that number. */
    void sendGossip(int gateway, byte[] message);

    /** Sends a message to all other gateways. */
    void broadcastGossip(byte[] message);
  }

  /** What has been counted so far. */
  CountersSnapshot counters();

  /** Fronts answer queries of this name with the JSON text, in place of what was given before. */
  void registerQuery(String name, Supplier<byte[]> json);

  /** The JSON text for a query; null if nobody registered one of that name. */
  byte[] answerQuery(String name);

  /** Adds a front that is to be told of the gateway's shutdown. */
  void addShutdownListener(ShutdownListener listener);

  /** What the gateway tells its fronts when it shuts down. */
  interface ShutdownListener {

    /** Accepts no connections; open ones are kept for the responses still to come. */
    void stopAccepting();

    /** All responses are given: what is written goes out, then the connections close. */
    void close();

    /** Drops all connections at once. */
    void abort();
  }
}
