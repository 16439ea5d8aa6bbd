package flintlead.peers;

import flintlead.learn.Fact;
import flintlead.learn.Pupil;
import flintlead.learn.Teacher;
import flintlead.loop.Address;
import flintlead.loop.Datagrams;
import flintlead.loop.Loop;
import flintlead.member.Letter;
import flintlead.member.LetterCode;
import flintlead.member.Member;
import flintlead.member.Seal;
import flintlead.member.Swim;
import flintlead.time.Moment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/** One gateway's company: its membership, what it learns and teaches. Lives on the gateway's loop. */
public final class Peers implements Swim.Carrier {

    /** What the gateway does for it. */
    public interface Gateway {
        /** Bytes from another gateway's decisions. */
        void heard(int index, byte[] word);

        /** What its decisions have seen themselves. */
        List<Fact> facts();

        /** What another has seen. */
        void learnt(List<Fact> facts);

        /** So many gateways live or may live, this one included. */
        void gateways(int there);

        void say(String line);
    }

    /** What has been counted. */
    public record Counts(Swim.Tally members, long malformed, long unsealed, long taught, long turnedAway, int learnt,
                         String learning) { }

    private final Loop loop;
    private final PeerTerms terms;
    private final Gateway gateway;
    private Seal seal;
    private final Swim swim;
    private final Teacher teacher;
    private final Pupil pupil;
    private Datagrams.Port port;
    private Runnable alarm;
    private Runnable pupilAlarm;
    private String learning = "not begun";
    private long malformed;
    private long unsealed;
    private int there = 1;
    private boolean closed;

    private Peers(Loop loop, PeerTerms terms, Gateway gateway, Random random, Member self) {
        this.loop = loop;
        this.terms = terms;
        this.gateway = gateway;
        this.seal = new Seal(terms.keys());
        Moment now = loop.now();
        this.swim = new Swim(self, terms.seeds().stream().map(Address.Udp::toString).toList(), terms.rhythm(), this,
            new Random(random.nextLong()));
        this.teacher = new Teacher(terms.ration(), gateway::facts, now, terms.freshFor());
        this.pupil = new Pupil(terms.patience(), new Learning(), new Random(random.nextLong()));
    }

    /**
     * Opens the port and begins; not from the loop itself.
     *
     * @param incarnation above that of every process before under this name
     * @param then hears of it on the loop, once it has begun
     * @throws IOException when the port can't be opened
     */
    public static <L extends Loop & Datagrams> void open(L place, PeerTerms terms, String name, int index, long incarnation,
                                                         Gateway gateway, long seed, Consumer<Peers> then) throws IOException {
        Peers[] peers = new Peers[1];
        Datagrams.Port port = place.open(terms.at(), (from, message) -> {
            if (peers[0] != null) {
                peers[0].came(message);
            }
        });
        Address.Udp told = terms.told() == null ? port.address() : terms.told();
        place.execute(() -> {
            peers[0] = new Peers(place, terms, gateway, new Random(seed),
                new Member(name, told.toString(), index, incarnation, Member.State.ALIVE));
            peers[0].port = port;
            peers[0].begin();
            then.accept(peers[0]);
        });
    }

    private void begin() {
        swim.begin(loop.now());
        if (terms.learns()) {
            learning = "under way";
            pupil.begin(loop.now());
        }
    }

    /** Where its datagrams come in. */
    public Address.Udp address() {
        return port.address();
    }

    /** Tells the others that it goes, and goes. */
    public void leave() {
        if (!closed) {
            swim.leave();
            close();
        }
    }

    public void close() {
        closed = true;
        port.close();
    }

    public Member self() {
        return swim.self();
    }

    public List<Member> others() {
        return List.copyOf(swim.others());
    }

    public int health() {
        return swim.health();
    }

    public Counts counts() {
        return new Counts(swim.tally(), malformed, unsealed, teacher.taught(), teacher.turnedAway(), pupil.facts(), learning);
    }

    /**
     * Other keys from now on, the first for own letters.
     *
     * @throws IllegalArgumentException when one is too short; those before stay
     */
    public void keys(List<byte[]> keys) {
        seal = new Seal(keys);
    }

    /** A word for the decisions of the gateway of that number; lost where it is not there. */
    public void tell(int index, byte[] word) {
        if (!closed) {
            swim.tell(index, word);
        }
    }

    public void tellAll(byte[] word) {
        for (Member each : others()) {
            tell(each.index(), word);
        }
    }

    private void came(byte[] message) {
        if (closed) {
            return;
        }
        byte[] open = seal.open(message);
        if (open == null) {
            unsealed++;
            return;
        }
        Letter letter;
        try {
            letter = LetterCode.read(open);
        } catch (IllegalArgumentException e) {
            malformed++;
            return;
        }
        swim.heard(letter, loop.now());
    }

    // ---- what the membership asks ----

    @Override
    public void send(String address, Letter letter) {
        Address.Udp to;
        try {
            to = Address.Udp.parse(address);
        } catch (IllegalArgumentException e) {
            // Another told of a member at an address that is none: it will be found dead.
            malformed++;
            return;
        }
        port.send(to, seal.close(LetterCode.write(letter)));
    }

    @Override
    public void wakeAt(Moment when) {
        if (alarm != null) {
            alarm.run();
        }
        alarm = loop.at(when, () -> {
            alarm = null;
            if (!closed) {
                swim.wake(loop.now());
            }
        });
    }

    @Override
    public void changed(Member before, Member now, String why) {
        gateway.say("member " + now.name() + " at " + now.address() + " is " + now.state() + " (incarnation " + now.incarnation()
            + "): " + why);
        if (now.name().equals(swim.self().name())) {
            return;
        }
        int count = swim.there();
        if (count != there) {
            there = count;
            gateway.gateways(count);
        }
        if (!pupil.isOver() && terms.learns()) {
            List<String> names = new ArrayList<>();
            for (Member each : swim.others()) {
                if (each.state() == Member.State.ALIVE) {
                    names.add(each.name());
                }
            }
            pupil.peers(names, loop.now());
        }
    }

    @Override
    public void word(Member from, Letter.Kind kind, byte[] word) {
        switch (kind) {
            case WORD -> gateway.heard(from.index(), word);
            case QUESTION -> {
                byte[] lesson = teacher.answer(from.name(), word, loop.now());
                if (lesson == null) {
                    malformed++;
                } else {
                    swim.say(from.name(), Letter.Kind.LESSON, lesson);
                }
            }
            default -> pupil.heard(from.name(), word, loop.now());
        }
    }

    private final class Learning implements Pupil.Carrier {

        @Override
        public void ask(String peer, byte[] question) {
            swim.say(peer, Letter.Kind.QUESTION, question);
        }

        @Override
        public void learnt(String peer, List<Fact> facts) {
            gateway.learnt(facts);
        }

        @Override
        public void wakeAt(Moment when) {
            if (pupilAlarm != null) {
                pupilAlarm.run();
            }
            pupilAlarm = loop.at(when, () -> {
                pupilAlarm = null;
                if (!closed) {
                    pupil.wake(loop.now());
                }
            });
        }

        @Override
        public void over(String how) {
            learning = how;
            gateway.say("learning from others is over: " + how);
        }
    }
}
