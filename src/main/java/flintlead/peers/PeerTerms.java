package flintlead.peers;

import flintlead.learn.Pupil;
import flintlead.learn.Teacher;
import flintlead.loop.Address;
import flintlead.member.Rhythm;
import flintlead.time.Span;
import java.util.List;

/**
 * How a gateway keeps company with others.
 *
 * @param at where its datagrams come in
 * @param told the address that others are told; null for {@code at}
 * @param seeds where others may be met
 * @param keys that letters are sealed with, the first for its own; none for no seals
 * @param learns whether it asks others after its start
 * @param freshFor how long after its start it teaches nobody
 */
public record PeerTerms(Address.Udp at, Address.Udp told, List<Address.Udp> seeds, List<byte[]> keys, Rhythm rhythm,
                        boolean learns, Span freshFor, Teacher.Ration ration, Pupil.Patience patience) {

    public static PeerTerms usual(Address.Udp at, List<Address.Udp> seeds) {
        return new PeerTerms(at, null, seeds, List.of(), Rhythm.USUAL, true, Span.ofMillis(5_000), Teacher.Ration.USUAL,
            Pupil.Patience.USUAL);
    }
}
