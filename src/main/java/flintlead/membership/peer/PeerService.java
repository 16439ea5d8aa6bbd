package flintlead.membership.peer;

import flintlead.membership.swim.GossipCodec;
import flintlead.membership.swim.GossipMessage;
import flintlead.membership.swim.Member;
import flintlead.membership.swim.MessageAuthenticator;
import flintlead.membership.swim.Swim;
import flintlead.membership.transfer.InstanceObservation;
import flintlead.membership.transfer.StateTransferClient;
import flintlead.membership.transfer.StateTransferServer;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.DatagramTransport;
import flintlead.transport.loop.EventExecutor;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One gateway's membership and state transfer on the network: carries their messages as datagrams,
 * authenticates them, and passes gossip, observations and the number of gateways to the gateway.
 * Used on the gateway's event loop, unless stated otherwise.
 */
public final class PeerService {

  /** The gateway on whose behalf this runs. */
  public interface LocalGateway {

    /** Gossip of another gateway's scheduler has come. */
    void gossipReceived(int sender, byte[] gossip);

    /** The gateway's own observations. */
    List<InstanceObservation> observations();

    /** Observations of others. */
    void mergeObservations(List<InstanceObservation> observations);

    /** So many gateways live or may live, this one included. */
    void gatewayCountChanged(int count);

    /** Logs a line. */
    void log(String line);
  }

  /**
   * Counts since the start.
   *
   * @param swim counts of the membership protocol
   * @param malformed datagrams that could not be decoded, and addresses that could not be parsed
   * @param unauthenticated datagrams without a valid tag
   * @param pagesServed pages of observations served to others
   * @param requestsRejected requests for them that were rejected
   * @param observationsReceived observations received from others
   * @param transferStatus how the transfer from others stands, in words
   */
  public record PeerCounters(
      Swim.SwimCounters swim,
      long malformed,
      long unauthenticated,
      long pagesServed,
      long requestsRejected,
      int observationsReceived,
      String transferStatus) {}

  private static final String TRANSFER_NOT_STARTED = "not begun";
  private static final String TRANSFER_RUNNING = "under way";

  private final EventExecutor loop;
  private final PeerConfig config;
  private final LocalGateway gateway;
  private final DatagramTransport.DatagramSocket port;
  private final Swim swim;
  private final StateTransferServer transferServer;
  private final StateTransferClient transferClient;
  private final ReplaceableTimer swimTimer;
  private final ReplaceableTimer transferTimer;
  private MessageAuthenticator authenticator;
  private String transferStatus = TRANSFER_NOT_STARTED;
  private long malformed;
  private long unauthenticated;
  private int activeGateways = 1;
  private boolean closed;

  private PeerService(
      EventExecutor loop,
      DatagramTransport.DatagramSocket port,
      PeerConfig config,
      LocalGateway gateway,
      Random random,
      Member self) {
    this.loop = loop;
    this.port = port;
    this.config = config;
    this.gateway = gateway;
    this.authenticator = new MessageAuthenticator(config.keys());
    this.swimTimer = new ReplaceableTimer(loop, this::onSwimTimer);
    this.transferTimer = new ReplaceableTimer(loop, this::onTransferTimer);
    List<String> seeds = config.seeds().stream().map(Address.Udp::toString).toList();
    this.swim =
        new Swim(
            self,
            seeds,
            config.probeSchedule(),
            new MembershipContext(),
            new Random(random.nextLong()));
    this.transferServer =
        new StateTransferServer(
            config.transferLimits(), gateway::observations, loop.now(), config.servingDelay());
    this.transferClient =
        new StateTransferClient(
            config.transferTimeouts(), new ClientContext(), new Random(random.nextLong()));
  }

  /**
   * Opens the port and starts. Not to be called on the event loop.
   *
   * @param name this gateway's name, unique among all
   * @param index this gateway's number
   * @param incarnation above that of every earlier process of that name
   * @param then called on the event loop once it has started
   * @throws IOException when the port can't be opened
   */
  public static <L extends EventExecutor & DatagramTransport> void open(
      L loop,
      PeerConfig config,
      String name,
      int index,
      long incarnation,
      LocalGateway gateway,
      long seed,
      Consumer<PeerService> then)
      throws IOException {
    // Set on the event loop, on which datagrams are received too: those before the start are
    // dropped.
    PeerService[] started = new PeerService[1];
    DatagramTransport.DatagramSocket port =
        loop.bind(
            config.listenAddress(),
            (sender, datagram) -> {
              if (started[0] != null) {
                started[0].receive(datagram);
              }
            });
    Address.Udp advertised =
        config.advertisedAddress() == null ? port.address() : config.advertisedAddress();
    Member self = new Member(name, advertised.toString(), index, incarnation, Member.State.ALIVE);
    loop.execute(
        () -> {
          started[0] = new PeerService(loop, port, config, gateway, new Random(seed), self);
          started[0].start();
          then.accept(started[0]);
        });
  }

  private void start() {
    swim.start(loop.now());
    if (config.stateTransferEnabled()) {
      transferStatus = TRANSFER_RUNNING;
      transferClient.start(loop.now());
    }
  }

  // ---- queries ----

  /** Where datagrams are received. On any thread. */
  public Address.Udp address() {
    return port.address();
  }

  /** This gateway as a member. */
  public Member self() {
    return swim.self();
  }

  /** All other known members, those that died or left included. */
  public List<Member> otherMembers() {
    return List.copyOf(swim.otherMembers());
  }

  /** How far this member doubts itself; 0 when healthy. */
  public int healthScore() {
    return swim.healthScore();
  }

  /** What has been counted so far. */
  public PeerCounters counters() {
    return new PeerCounters(
        swim.counters(),
        malformed,
        unauthenticated,
        transferServer.pagesServed(),
        transferServer.requestsRejected(),
        transferClient.observationCount(),
        transferStatus);
  }

  // ---- commands ----

  /** Tells others that this gateway leaves, and closes. */
  public void leave() {
    if (!closed) {
      swim.leave();
      close();
    }
  }

  /** Closes without a word: the others will detect it. */
  public void close() {
    closed = true;
    port.close();
  }

  /**
   * Replaces the keys; the first one signs.
   *
   * @throws IllegalArgumentException when one is too short; those before stay in force
   */
  public void updateKeys(List<byte[]> keys) {
    authenticator = new MessageAuthenticator(keys);
  }

  /** Sends gossip to the scheduler of the gateway of that index; lost where it is not active. */
  public void sendGossip(int index, byte[] gossip) {
    if (!closed) {
      swim.sendGossip(index, gossip);
    }
  }

  /** Sends gossip to the schedulers of all other gateways. */
  public void broadcastGossip(byte[] gossip) {
    for (Member member : otherMembers()) {
      sendGossip(member.index(), gossip);
    }
  }

  // ---- messages ----

  private void receive(byte[] datagram) {
    if (closed) {
      return;
    }
    Optional<byte[]> encoded = authenticator.verify(datagram);
    if (encoded.isEmpty()) {
      unauthenticated++;
      return;
    }
    GossipMessage message;
    try {
      message = GossipCodec.decode(encoded.get());
    } catch (IllegalArgumentException e) {
      malformed++;
      return;
    }
    swim.receive(message, loop.now());
  }

  private void send(String address, GossipMessage message) {
    Address.Udp recipient;
    try {
      recipient = Address.Udp.parse(address);
    } catch (IllegalArgumentException e) {
      // Another member reported an address that is none: the member there will be found dead.
      malformed++;
      return;
    }
    port.send(recipient, authenticator.sign(GossipCodec.encode(message)));
  }

  private void handlePayload(Member sender, GossipMessage.Kind kind, byte[] payload) {
    switch (kind) {
      case SCHEDULER_GOSSIP -> gateway.gossipReceived(sender.index(), payload);
      case STATE_PAGE_REQUEST -> respond(sender, payload);
      case STATE_PAGE -> transferClient.receive(sender.name(), payload, loop.now());
      default ->
          throw new IllegalArgumentException("a message of kind " + kind + " has no payload");
    }
  }

  private void respond(Member client, byte[] request) {
    Optional<byte[]> page = transferServer.handle(client.name(), request, loop.now());
    if (page.isPresent()) {
      swim.sendPayload(client.name(), GossipMessage.Kind.STATE_PAGE, page.get());
    } else {
      malformed++;
    }
  }

  // ---- changes and timers ----

  private void handleChange(Member member, String reason) {
    gateway.log(
        "member "
            + member.name()
            + " at "
            + member.address()
            + " is "
            + member.state()
            + " (incarnation "
            + member.incarnation()
            + "): "
            + reason);
    if (member.name().equals(swim.self().name())) {
      return;
    }
    int active = swim.activeCount();
    if (active != activeGateways) {
      activeGateways = active;
      gateway.gatewayCountChanged(active);
    }
    if (!transferClient.isFinished() && config.stateTransferEnabled()) {
      transferClient.updatePeers(aliveMembers(), loop.now());
    }
  }

  private List<String> aliveMembers() {
    return swim.otherMembers().stream()
        .filter(member -> member.state() == Member.State.ALIVE)
        .map(Member::name)
        .toList();
  }

  private void onSwimTimer() {
    if (!closed) {
      swim.onTimer(loop.now());
    }
  }

  private void onTransferTimer() {
    if (!closed) {
      transferClient.onTimer(loop.now());
    }
  }

  private final class MembershipContext implements Swim.SwimContext {

    @Override
    public void send(String address, GossipMessage message) {
      PeerService.this.send(address, message);
    }

    @Override
    public void scheduleTimer(Moment when) {
      swimTimer.schedule(when);
    }

    @Override
    public void memberChanged(Member before, Member after, String reason) {
      handleChange(after, reason);
    }

    @Override
    public void payloadReceived(Member sender, GossipMessage.Kind kind, byte[] payload) {
      handlePayload(sender, kind, payload);
    }
  }

  private final class ClientContext implements StateTransferClient.TransferContext {

    @Override
    public void sendRequest(String peer, byte[] request) {
      swim.sendPayload(peer, GossipMessage.Kind.STATE_PAGE_REQUEST, request);
    }

    @Override
    public void observationsReceived(String peer, List<InstanceObservation> observations) {
      gateway.mergeObservations(observations);
    }

    @Override
    public void scheduleTimer(Moment when) {
      transferTimer.schedule(when);
    }

    @Override
    public void finished(String result) {
      transferStatus = result;
      gateway.log("state transfer from other gateways is over: " + result);
    }
  }
}
