package flintlead.membership.swim;

import flintlead.membership.swim.GossipMessage.Kind;
import flintlead.membership.swim.Member.State;
import flintlead.time.Moment;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Failure detection (SWIM 4.1): probes one member in each interval, directly and, without an answer
 * in time, through other members. One without any answer at the end of the interval is suspected.
 * Not thread-safe.
 */
final class Prober {

  /** The state of the probe of this interval. */
  private enum Phase {
    /** No member is probed. */
    IDLE,
    /** Waits for the answer to a direct probe. */
    DIRECT,
    /** Waits for an answer through others as well. */
    INDIRECT,
    /** The member has answered. */
    ACKNOWLEDGED;

    boolean mayBecome(Phase next) {
      return switch (this) {
        case IDLE -> next == DIRECT;
        case DIRECT -> next != DIRECT;
        case INDIRECT -> next == ACKNOWLEDGED || next == IDLE;
        case ACKNOWLEDGED -> next == IDLE;
      };
    }
  }

  private final ProbeSchedule schedule;
  private final Membership membership;
  private final MessageSender sender;
  private final ProbeOrder order;
  private final LocalHealth localHealth;
  private final Swim.SwimCounters counters;
  private final Random random;
  private Phase phase = Phase.IDLE;

  /** Name of the member that is probed; null when idle. */
  private String target;

  private long sequence;

  /** Members asked for an indirect probe that have not even answered that they tried. */
  private int missingNacks;

  private Moment indirectAt;
  private Moment intervalEnd;

  Prober(
      ProbeSchedule schedule,
      Membership membership,
      MessageSender sender,
      ProbeOrder order,
      LocalHealth localHealth,
      Swim.SwimCounters counters,
      Random random) {
    this.schedule = schedule;
    this.membership = membership;
    this.sender = sender;
    this.order = order;
    this.localHealth = localHealth;
    this.counters = counters;
    this.random = random;
  }

  private void enter(Phase next) {
    if (!phase.mayBecome(next)) {
      throw new IllegalStateException("a probe that is " + phase + " can't become " + next);
    }
    phase = next;
  }

  /** Ends the probe that is under way without any conclusion, and the interval. */
  void abandonInterval(Moment now) {
    stopProbe();
    intervalEnd = now;
  }

  private void stopProbe() {
    if (phase != Phase.IDLE) {
      enter(Phase.IDLE);
      target = null;
    }
  }

  /** Begins the next interval with the probe of the next member. */
  void startInterval(Moment now) {
    stopProbe();
    missingNacks = 0;
    intervalEnd = now.plus(localHealth.stretch(schedule.probeInterval()));
    order.next(membership).ifPresent(member -> probe(member, now));
  }

  private void probe(Member member, Moment now) {
    enter(Phase.DIRECT);
    target = member.name();
    sequence = sender.nextSequence();
    counters.probes++;
    indirectAt = now.plus(localHealth.stretch(schedule.probeTimeout()));
    // A suspect is told of the suspicion first of all, so that it can refute it.
    List<Member> first = member.state() == State.SUSPECT ? List.of(member) : List.of();
    sender.send(Kind.PING, member, sequence, first);
  }

  /**
   * Asks other members to probe the target, where the direct probe has not been answered in time.
   */
  void probeIndirectlyIfDue(Moment now) {
    if (phase != Phase.DIRECT || now.isBefore(indirectAt)) {
      return;
    }
    enter(Phase.INDIRECT);
    List<Member> helpers =
        new ArrayList<>(
            membership.others().stream()
                .filter(member -> member.state() == State.ALIVE && !member.name().equals(target))
                .toList());
    Collections.shuffle(helpers, random);
    List<Member> chosen = helpers.subList(0, Math.min(schedule.indirectProbes(), helpers.size()));
    missingNacks = chosen.size();
    List<Member> first = List.of(membership.get(target));
    chosen.forEach(helper -> sender.send(Kind.INDIRECT_PING, helper, sequence, target, first));
  }

  /** Notes an acknowledgement; whether it belongs to the probe of this interval. */
  boolean acknowledged(long acknowledgedSequence) {
    if (phase == Phase.IDLE || acknowledgedSequence != sequence) {
      return false;
    }
    if (phase != Phase.ACKNOWLEDGED) {
      enter(Phase.ACKNOWLEDGED);
    }
    return true;
  }

  /** A helper says that it has no answer yet, by which it shows that this member can be reached. */
  void negativelyAcknowledged(long acknowledgedSequence) {
    if (acknowledgedSequence == sequence && missingNacks > 0) {
      missingNacks--;
    }
  }

  /** Whether the interval is over. */
  boolean isIntervalOver(Moment now) {
    return !now.isBefore(intervalEnd);
  }

  /** Draws the conclusion from the probe of the interval. */
  void concludeInterval(Moment now) {
    switch (phase) {
      case IDLE -> {}
      case ACKNOWLEDGED -> localHealth.improve();
      case DIRECT -> fail(1, now);
      // Helpers that do not answer at all point to this member's own network or speed.
      case INDIRECT -> fail(missingNacks, now);
    }
  }

  private void fail(int doubt, Moment now) {
    counters.failedProbes++;
    localHealth.worsen(doubt);
    Member member = membership.get(target);
    if (member != null && member.isActive()) {
      membership.suspect(
          member,
          membership.self().name(),
          now,
          "no acknowledgement, directly or through " + schedule.indirectProbes() + " others");
    }
  }

  /** When this has to be looked at next. */
  Moment nextDeadline() {
    return phase == Phase.DIRECT ? Moment.earlier(intervalEnd, indirectAt) : intervalEnd;
  }
}
