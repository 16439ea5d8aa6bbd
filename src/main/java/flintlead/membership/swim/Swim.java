package flintlead.membership.swim;

import flintlead.membership.swim.GossipMessage.Kind;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * One gateway's part in the membership protocol: receives messages and timer events, sends messages
 * and reports changes through its context. Each interval it probes one member ({@link Prober}), so
 * that its cost does not grow with the number of members. What it knows of the others is in {@link
 * Membership}.
 *
 * <p>Pure and not thread-safe: used on the gateway's event loop.
 */
public final class Swim {

  /** What the protocol needs of its surroundings. */
  public interface SwimContext {

    /** Sends a message, which may be lost, to the address of a member. */
    void send(String address, GossipMessage message);

    /** Requests a timer event at that moment, in place of the one that was requested last. */
    void scheduleTimer(Moment when);

    /**
     * The state of a member has changed.
     *
     * @param before null for a member that was not known
     * @param reason in words, for the log
     */
    void memberChanged(Member before, Member after, String reason);

    /** A message with a payload has come from a known member. */
    void payloadReceived(Member sender, Kind kind, byte[] payload);
  }

  /** Counts since the start. */
  public static final class SwimCounters {
    /** Messages sent. */
    public long sent;

    /** Messages received. */
    public long received;

    /** Direct probes sent. */
    public long probes;

    /** Probe intervals that ended without an acknowledgement. */
    public long failedProbes;

    /** How often this member raised its incarnation, as others held it for gone. */
    public long refutations;

    /** Probes of members that are not known, which are not answered. */
    public long fromUnknownSenders;

    /** New members that were ignored, as there were too many. */
    public long rejectedMembers;

    /** Members held for suspect or dead that turned out to be alive by their own message. */
    public long falseSuspicions;
  }

  /** Sizes of what is kept, all of which must stay bounded. */
  record StateSizes(
      int members, int suspicions, int queuedUpdates, int relayedProbes, int probeOrder) {}

  /**
   * One of the dead is probed every so many intervals: the parts of a network that was cut find
   * each other again.
   */
  private static final int INTERVALS_PER_DEAD_PROBE = 5;

  /**
   * A member that is alone joins at the seeds every so many intervals, and one that isn't every so
   * many times that.
   */
  private static final int INTERVALS_PER_JOIN = 5;

  private static final int JOINS_PER_REJOIN = 6;

  /**
   * A timer event that is later than this part of an interval shows that this process stood still.
   */
  private static final double STALL_INTERVALS = 0.5;

  private final ProbeSchedule schedule;
  private final SwimContext context;
  private final Random random;
  private final List<String> seeds;
  private final DisseminationQueue updates;
  private final ProbeOrder probeOrder;
  private final LocalHealth localHealth = new LocalHealth();
  private final SwimCounters counters = new SwimCounters();
  private final Membership membership;
  private final MessageSender sender;
  private final Prober prober;
  private final ProbeRelay relay;
  private long intervals;

  /** For when a timer event was requested last; null before the first request. */
  private Moment timerAt;

  private boolean left;

  /**
   * @param self with an incarnation above that of every earlier process of that name, as the
   *     seconds of the wall clock are
   * @param seeds addresses to join at; the own one and those of dead members do no harm
   * @param random decides the order of probes and who is asked for help
   */
  public Swim(
      Member self, List<String> seeds, ProbeSchedule schedule, SwimContext context, Random random) {
    this.seeds = List.copyOf(seeds);
    this.schedule = schedule;
    this.context = context;
    this.random = random;
    this.updates = new DisseminationQueue(schedule.retransmitMultiplier());
    this.probeOrder = new ProbeOrder(random);
    this.membership =
        new Membership(self, schedule, context, updates, probeOrder, localHealth, counters);
    this.sender = new MessageSender(membership, updates, context, counters, random);
    this.prober =
        new Prober(schedule, membership, sender, probeOrder, localHealth, counters, random);
    this.relay = new ProbeRelay(schedule, membership, sender);
  }

  // ---- queries ----

  /** This member. */
  public Member self() {
    return membership.self();
  }

  /** All known members but this one, by name, those that died or left included. */
  public Collection<Member> otherMembers() {
    return membership.others();
  }

  /** Number of members that live or may live, this one included. */
  public int activeCount() {
    return membership.activeCount();
  }

  /**
   * How far this member doubts itself: 0 when healthy; each step stretches its probe interval by
   * one.
   */
  public int healthScore() {
    return localHealth.score();
  }

  /** What has been counted; changes as events come in. */
  public SwimCounters counters() {
    return counters;
  }

  StateSizes sizes() {
    return new StateSizes(
        membership.others().size(),
        membership.suspicionCount(),
        updates.size(),
        relay.size(),
        probeOrder.size());
  }

  // ---- life cycle and timers ----

  /** Joins at the seeds and starts to probe. */
  public void start(Moment now) {
    join();
    startInterval(now);
    requestTimer();
  }

  /**
   * Leaves in good order and tells some members, so that nobody has to detect it. Nothing is
   * received or sent afterwards.
   */
  public void leave() {
    left = true;
    membership.leave();
    List<Member> active = new ArrayList<>(membership.active().toList());
    Collections.shuffle(active, random);
    int count = Math.min(active.size(), 2 * schedule.indirectProbes());
    active.subList(0, count).forEach(member -> sender.sendSelf(Kind.MEMBER_PAGE, member.address()));
  }

  /** The timer event that was requested. */
  public void onTimer(Moment now) {
    if (left) {
      return;
    }
    Span late = timerAt == null ? Span.ZERO : now.since(timerAt);
    if (late.isLongerThan(schedule.probeInterval().times(STALL_INTERVALS))) {
      recoverFromStall(late, now);
    }
    prober.probeIndirectlyIfDue(now);
    relay.sendDueNacks(now);
    membership.expireSuspicions(now);
    if (prober.isIntervalOver(now)) {
      prober.concludeInterval(now);
      startInterval(now);
    }
    requestTimer();
  }

  /** This process stood still: that nothing came meanwhile proves nothing about others. */
  private void recoverFromStall(Span stalled, Moment now) {
    membership.extendSuspicions(stalled);
    localHealth.worsen(1);
    prober.abandonInterval(now);
  }

  private void requestTimer() {
    timerAt = relay.nextDeadline(membership.nextDeadline(prober.nextDeadline()));
    context.scheduleTimer(timerAt);
  }

  private void startInterval(Moment now) {
    intervals++;
    prober.startInterval(now);
    if (intervals % INTERVALS_PER_DEAD_PROBE == 0) {
      probeOneDead();
    }
    boolean joinsAlone = membership.activeCount() == 1 && intervals % INTERVALS_PER_JOIN == 0;
    if (joinsAlone || intervals % (INTERVALS_PER_JOIN * JOINS_PER_REJOIN) == 0) {
      join();
    }
    membership.forgetDeparted(now);
  }

  private void join() {
    List<String> others = new ArrayList<>(seeds);
    others.remove(self().address());
    Collections.shuffle(others, random);
    int count = Math.min(schedule.indirectProbes(), others.size());
    others.subList(0, count).forEach(seed -> sender.sendSelf(Kind.JOIN, seed));
  }

  private void probeOneDead() {
    List<Member> dead = membership.dead();
    if (!dead.isEmpty()) {
      Member member = dead.get(random.nextInt(dead.size()));
      sender.send(Kind.PING, member, sender.nextSequence(), List.of(member));
    }
  }

  // ---- messages ----

  /**
   * A message has come. Its content may be old, repeated or wrong; only that its sender belongs to
   * the cluster has been checked.
   */
  public void receive(GossipMessage message, Moment now) {
    boolean own = message.sender().equals(self().name());
    if (left || own && message.kind() != Kind.ACK) {
      return;
    }
    counters.received++;
    message.updates().forEach(update -> membership.merge(update, message.sender(), now));
    handle(message, now);
    requestTimer();
  }

  private void handle(GossipMessage message, Moment now) {
    switch (message.kind()) {
      case ACK -> acknowledged(message.sequence());
      case NACK -> prober.negativelyAcknowledged(message.sequence());
      case MEMBER_PAGE -> {
        // Its updates are all that it brings.
      }
      case PING, INDIRECT_PING, JOIN, SCHEDULER_GOSSIP, STATE_PAGE_REQUEST, STATE_PAGE ->
          handleRequest(message, now);
    }
  }

  /**
   * Handles a message that has an effect only where its sender is known, and so can be answered.
   */
  private void handleRequest(GossipMessage message, Moment now) {
    Member from = membership.get(message.sender());
    if (from == null) {
      counters.fromUnknownSenders += message.kind() == Kind.PING ? 1 : 0;
      return;
    }
    switch (message.kind()) {
      case PING -> sender.send(Kind.ACK, from, message.sequence(), List.of());
      case INDIRECT_PING -> relayProbe(message, from, now);
      case JOIN -> sender.sendAllMembers(from);
      default -> context.payloadReceived(from, message.kind(), message.payload());
    }
  }

  private void acknowledged(long sequence) {
    if (!prober.acknowledged(sequence)) {
      relay.acknowledged(sequence);
    }
  }

  private void relayProbe(GossipMessage message, Member from, Moment now) {
    Member target = membership.get(message.subject());
    if (target != null) {
      relay.relay(from, message.sequence(), target, now);
    }
  }

  /** Sends gossip of the scheduler to the member of that index; false where none is active. */
  public boolean sendGossip(int index, byte[] payload) {
    Member recipient =
        membership.active().filter(member -> member.index() == index).findFirst().orElse(null);
    if (recipient == null) {
      return false;
    }
    sender.sendPayload(Kind.SCHEDULER_GOSSIP, recipient, payload);
    return true;
  }

  /** Sends a message with a payload to the member of that name; false where it is not active. */
  public boolean sendPayload(String name, Kind kind, byte[] payload) {
    Member recipient = membership.get(name);
    if (recipient == null || !recipient.isActive()) {
      return false;
    }
    sender.sendPayload(kind, recipient, payload);
    return true;
  }
}
