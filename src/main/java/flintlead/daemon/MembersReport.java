package flintlead.daemon;

import flintlead.membership.peer.PeerService;
import flintlead.membership.swim.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The answer to {@code members}: who the other gateways are, and what has been counted. The keys
 * are the wire format.
 */
final class MembersReport {

  private MembersReport() {}

  /** Returns the report as JSON; on the gateway's loop. */
  static byte[] encode(PeerService peers) {
    PeerService.PeerCounters counts = peers.counters();
    return JsonObjects.encode(
        JsonObjects.object(
            "list", members(peers),
            "health", peers.healthScore(),
            "sent", counts.swim().sent,
            "heard", counts.swim().received,
            "probes", counts.swim().probes,
            "failedProbes", counts.swim().failedProbes,
            "refutations", counts.swim().refutations,
            "wrongly", counts.swim().falseSuspicions,
            "malformed", counts.malformed(),
            "unsealed", counts.unauthenticated(),
            "taught", counts.pagesServed(),
            "turnedAway", counts.requestsRejected(),
            "learnt", counts.observationsReceived(),
            "learning", counts.transferStatus()));
  }

  private static List<Map<String, Object>> members(PeerService peers) {
    List<Member> all = new ArrayList<>(peers.otherMembers());
    all.add(peers.self());
    all.sort(Comparator.comparing(Member::name));
    return all.stream().map(MembersReport::member).toList();
  }

  private static Map<String, Object> member(Member member) {
    return JsonObjects.object(
        "name", member.name(),
        "address", member.address(),
        "index", member.index(),
        "incarnation", member.incarnation(),
        "state", member.state().name().toLowerCase(Locale.ROOT));
  }
}
