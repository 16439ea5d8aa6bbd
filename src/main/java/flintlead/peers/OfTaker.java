package flintlead.peers;

import flintlead.gateway.Taker;
import flintlead.learn.Fact;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A gateway's taker as its company sees it. */
public final class OfTaker implements Peers.Gateway {

    private final Taker taker;
    private final Consumer<String> say;

    public OfTaker(Taker taker, Consumer<String> say) {
        this.taker = taker;
        this.say = say;
    }

    /** Words of the decisions go by these peers from now on. */
    public void join(Peers peers) {
        taker.company(new Taker.Company() {
            @Override
            public void tell(int gateway, byte[] words) {
                peers.tell(gateway, words);
            }

            @Override
            public void tellAll(byte[] words) {
                peers.tellAll(words);
            }
        });
    }

    @Override
    public void heard(int index, byte[] word) {
        taker.heard(index, word);
    }

    @Override
    public List<Fact> facts() {
        List<Fact> facts = new ArrayList<>();
        taker.teach((host, function, copies, age) -> facts.add(new Fact(function, host, Math.min(copies, Fact.COPIES_MOST), age)));
        return facts;
    }

    @Override
    public void learnt(List<Fact> facts) {
        facts.forEach(each -> taker.learned(each.host(), each.function(), each.copies(), each.age()));
    }

    @Override
    public void gateways(int there) {
        taker.gatewaysAre(there);
    }

    @Override
    public void say(String line) {
        say.accept(line);
    }
}
