package flintlead.membership.swim;

import flintlead.membership.swim.Member.State;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What one member knows of all: the state of each, merged from updates of others and from own
 * probes, and the suspicions that run. A change is queued for dissemination and reported to the
 * context. Not thread-safe.
 */
final class Membership {

  /**
   * Members that died or left are forgotten after so many probe intervals, so that names that come
   * and go don't fill the memory.
   */
  private static final int DEPARTED_KEPT_INTERVALS = 3_600;

  private final ProbeSchedule schedule;
  private final Swim.SwimContext context;
  private final DisseminationQueue updates;
  private final ProbeOrder probeOrder;
  private final LocalHealth localHealth;
  private final Swim.SwimCounters counters;
  private Member self;

  /** All others, by name. */
  private final TreeMap<String, Member> members = new TreeMap<>();

  private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();
  private final Map<String, Moment> departedSince = new LinkedHashMap<>();

  Membership(
      Member self,
      ProbeSchedule schedule,
      Swim.SwimContext context,
      DisseminationQueue updates,
      ProbeOrder probeOrder,
      LocalHealth localHealth,
      Swim.SwimCounters counters) {
    this.self = self;
    this.schedule = schedule;
    this.context = context;
    this.updates = updates;
    this.probeOrder = probeOrder;
    this.localHealth = localHealth;
    this.counters = counters;
  }

  // ---- queries ----

  Member self() {
    return self;
  }

  /** Returns the member; null for one that is not known, and for this member itself. */
  Member get(String name) {
    return members.get(name);
  }

  /** All others, by name, those that died or left included. */
  Collection<Member> others() {
    return Collections.unmodifiableCollection(members.values());
  }

  /** The others that live or may live, by name. */
  Stream<Member> active() {
    return members.values().stream().filter(Member::isActive);
  }

  /** Number of members that live or may live, this one included. */
  int activeCount() {
    return 1 + (int) active().count();
  }

  /** The member behind that name, the first behind the last; there must be one. */
  Member following(String name) {
    Map.Entry<String, Member> next = members.higherEntry(name);
    return (next == null ? members.firstEntry() : next).getValue();
  }

  int suspicionCount() {
    return suspicions.size();
  }

  // ---- updates of other members ----

  /** This member leaves in good order. */
  void leave() {
    self = self.withState(State.LEFT);
  }

  /**
   * Takes over an update where it overrides what is known.
   *
   * @param sender name of the member whose message brought it
   */
  void merge(Member update, String sender, Moment now) {
    if (update.name().equals(self.name())) {
      mergeAboutSelf(update);
      return;
    }
    Member known = members.get(update.name());
    if (known == null) {
      mergeUnknown(update, sender, now);
    } else if (isSameSuspicion(update, known)) {
      confirmSuspicion(update);
    } else if (update.overrides(known)) {
      replace(known, update, sender, now);
    }
  }

  /**
   * Where others hold this member for gone, it refutes that with a higher incarnation than any that
   * was stated.
   */
  private void mergeAboutSelf(Member update) {
    boolean alive = update.state() == State.ALIVE;
    if (update.incarnation() < self.incarnation()
        || alive && update.incarnation() == self.incarnation()) {
      return;
    }
    self = self.asRefutation(update.incarnation() + 1);
    counters.refutations++;
    updates.add(self);
    if (!alive) {
      localHealth.worsen(1);
    }
  }

  private void mergeUnknown(Member update, String sender, Moment now) {
    if (members.size() >= schedule.maxMembers()) {
      counters.rejectedMembers++;
      return;
    }
    if (!update.isActive()) {
      return;
    }
    put(null, update.withState(State.ALIVE), now, "reported by " + sender);
    if (update.state() == State.SUSPECT) {
      suspect(
          members.get(update.name()),
          update.suspectedBy(),
          now,
          "suspected by " + update.suspectedBy());
    }
  }

  private static boolean isSameSuspicion(Member update, Member known) {
    return update.state() == State.SUSPECT
        && known.state() == State.SUSPECT
        && update.incarnation() == known.incarnation();
  }

  private void confirmSuspicion(Member update) {
    Suspicion suspicion = suspicions.get(update.name());
    if (suspicion != null && suspicion.confirm(update.suspectedBy())) {
      updates.add(update);
    }
  }

  private void replace(Member known, Member update, String sender, Moment now) {
    switch (update.state()) {
      case SUSPECT -> replaceBySuspect(update, now);
      case ALIVE -> replaceByAlive(known, update, sender, now);
      case LEFT -> put(known, update, now, "it left");
      case DEAD -> put(known, update, now, "reported by " + sender);
    }
  }

  /** A suspicion of others is taken over with a timeout of its own. */
  private void replaceBySuspect(Member update, Moment now) {
    Member alive = update.withState(State.ALIVE);
    members.put(update.name(), alive);
    suspicions.remove(update.name());
    departedSince.remove(update.name());
    suspect(alive, update.suspectedBy(), now, "suspected by " + update.suspectedBy());
  }

  private void replaceByAlive(Member known, Member update, String sender, Moment now) {
    if (!update.name().equals(sender)) {
      put(known, update, now, "reported by " + sender);
      return;
    }
    if (known.state() == State.SUSPECT || known.state() == State.DEAD) {
      counters.falseSuspicions++;
    }
    put(known, update, now, "announced by itself");
  }

  private void put(Member before, Member after, Moment now, String reason) {
    members.put(after.name(), after);
    suspicions.remove(after.name());
    if (after.isActive()) {
      departedSince.remove(after.name());
    } else {
      departedSince.put(after.name(), now);
    }
    updates.add(after);
    if (before == null && after.isActive()) {
      probeOrder.insert(after.name());
    }
    context.memberChanged(before, after, reason);
  }

  // ---- suspicions ----

  /** Suspects a member, or confirms the suspicion that runs. */
  void suspect(Member member, String accuser, Moment now, String reason) {
    Member suspect = member.asSuspect(accuser);
    Suspicion running = suspicions.get(member.name());
    if (running != null) {
      if (running.confirm(accuser)) {
        updates.add(suspect);
      }
      return;
    }
    members.put(member.name(), suspect);
    suspicions.put(member.name(), startSuspicion(accuser, now));
    updates.add(suspect);
    context.memberChanged(member, suspect, reason);
  }

  private Suspicion startSuspicion(String accuser, Moment now) {
    int active = activeCount();
    double scale = Math.max(1, Math.log10(Math.max(1, active)));
    Span minTimeout = schedule.probeInterval().times(schedule.suspicionMultiplier() * scale);
    Span maxTimeout = minTimeout.times(schedule.maxSuspicionFactor());
    int requiredConfirmations = Math.min(schedule.indirectProbes(), active - 2);
    return new Suspicion(now, accuser, requiredConfirmations, minTimeout, maxTimeout);
  }

  /** Declares the suspects dead whose time to refute is up. */
  void expireSuspicions(Moment now) {
    for (Map.Entry<String, Suspicion> entry : new ArrayList<>(suspicions.entrySet())) {
      if (!now.isBefore(entry.getValue().deadline())) {
        Member suspect = members.get(entry.getKey());
        put(suspect, suspect.withState(State.DEAD), now, "it did not refute the suspicion in time");
      }
    }
  }

  /** Extends all suspicions by the time in which this process stood still. */
  void extendSuspicions(Span stalled) {
    suspicions.values().forEach(suspicion -> suspicion.extend(stalled));
  }

  /** The earlier of that moment and the next deadline of a suspicion. */
  Moment nextDeadline(Moment latest) {
    Moment next = latest;
    for (Suspicion suspicion : suspicions.values()) {
      next = Moment.earlier(next, suspicion.deadline());
    }
    return next;
  }

  // ---- departed members ----

  /** The members that were declared dead, by name. */
  List<Member> dead() {
    return members.values().stream().filter(member -> member.state() == State.DEAD).toList();
  }

  /** Forgets members that died or left long ago. */
  void forgetDeparted(Moment now) {
    Span kept = schedule.probeInterval().times(DEPARTED_KEPT_INTERVALS);
    departedSince
        .entrySet()
        .removeIf(
            entry -> {
              boolean expired = now.since(entry.getValue()).isLongerThan(kept);
              if (expired) {
                members.remove(entry.getKey());
              }
              return expired;
            });
  }
}
