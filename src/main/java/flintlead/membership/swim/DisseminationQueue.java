package flintlead.membership.swim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates of members that are piggybacked on messages (SWIM 4.1): the least transmitted first, each
 * a bounded number of times that grows with the logarithm of the number of members. One entry for
 * each member: a newer update replaces an older. Not thread-safe.
 */
final class DisseminationQueue {

  private static final class Entry {
    final Member update;
    final long sequence;
    int transmissions;

    Entry(Member update, long sequence) {
      this.update = update;
      this.sequence = sequence;
    }
  }

  /** The least transmitted first, of those the newest. */
  private static final Comparator<Entry> PRIORITY =
      Comparator.<Entry>comparingInt(entry -> entry.transmissions)
          .thenComparing(entry -> -entry.sequence);

  private final int retransmitMultiplier;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long added;

  /**
   * @param retransmitMultiplier multiple of the logarithm of the number of members that each update
   *     is transmitted
   */
  DisseminationQueue(int retransmitMultiplier) {
    this.retransmitMultiplier = retransmitMultiplier;
  }

  void add(Member update) {
    entries.remove(update.name());
    entries.put(update.name(), new Entry(update, added++));
  }

  int size() {
    return entries.size();
  }

  /**
   * Takes the updates for one message; they count as transmitted.
   *
   * @param maxBytes room in the message
   * @param members number of members, this one included
   */
  List<Member> take(int maxBytes, int members) {
    int maxTransmissions = (int) Math.ceil(retransmitMultiplier * Math.log10(members + 1));
    List<Entry> byPriority = new ArrayList<>(entries.values());
    byPriority.sort(PRIORITY);
    List<Member> taken = new ArrayList<>();
    int room = maxBytes;
    for (Entry entry : byPriority) {
      int size = GossipCodec.encodedSize(entry.update);
      if (size > room) {
        break;
      }
      room -= size;
      taken.add(entry.update);
      entry.transmissions++;
      if (entry.transmissions >= maxTransmissions) {
        entries.remove(entry.update.name());
      }
    }
    return taken;
  }
}
