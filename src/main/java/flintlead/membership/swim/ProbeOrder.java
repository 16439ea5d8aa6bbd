package flintlead.membership.swim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The order in which members are probed: all in turn, in a random order that is drawn anew each
 * round (SWIM 4.3), so that each is probed within a bounded time. Not thread-safe.
 */
final class ProbeOrder {

  private final Random random;

  /** Names of the members still to be probed in this round, the next one last. */
  private final List<String> round = new ArrayList<>();

  ProbeOrder(Random random) {
    this.random = random;
  }

  /**
   * Puts a new member at a random place of the round that is under way, so that it is not always
   * the last to be probed.
   */
  void insert(String name) {
    round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), name);
  }

  /** The member to probe now; empty where none is active. */
  Optional<Member> next(Membership membership) {
    Optional<Member> next = nextOfRound(membership);
    if (next.isPresent()) {
      return next;
    }
    membership.active().map(Member::name).forEach(round::add);
    Collections.shuffle(round, random);
    return nextOfRound(membership);
  }

  private Optional<Member> nextOfRound(Membership membership) {
    while (!round.isEmpty()) {
      Member member = membership.get(round.remove(round.size() - 1));
      if (member != null && member.isActive()) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }

  /** Members still to be probed in this round. */
  int size() {
    return round.size();
  }
}
