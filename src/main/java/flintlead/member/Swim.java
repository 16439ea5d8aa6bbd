package flintlead.member;

import flintlead.member.Letter.Kind;
import flintlead.member.Member.State;
import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * One gateway's part in the membership. Told what it hears and when it wakes; says what to send and who has changed. Each
 * period it probes one member, so that its cost does not grow with the number of members; each is probed within a bounded
 * time, as all are taken in turn (SWIM 4.3). What room a letter has left goes to members by turns, so that who was cut off
 * learns all in time without any transfer of the whole.
 */
public final class Swim {

    /** What it asks of whoever carries its letters. */
    public interface Carrier {
        void send(String address, Letter letter);

        /** One alarm at a time: a new one takes the place of the last. */
        void wakeAt(Moment when);

        /** Something has changed, and why. {@code before} is null for one that was not known. */
        void changed(Member before, Member now, String why);

        /** A word, a question or a lesson, from a member that is known. */
        void word(Member from, Kind kind, byte[] word);
    }

    /** What has been counted. */
    public static final class Tally {
        public long sent;
        public long heard;
        public long probes;
        public long failedProbes;
        public long refutations;
        public long fromStrangers;
        public long refused;
        /** Members that were held dead or suspect and turned out to live, by their own word. */
        public long wrongly;
    }

    private static final int HEALTH_WORST = 8;
    private static final int PAGES_MOST = 64;
    /** Of the gone, one is asked each so many periods: a network that was cut in two finds together again. */
    private static final int ASK_GONE_EVERY = 5;
    private static final int SEEDS_EVERY = 5;
    /** Gone members are forgotten after so many periods, lest names that come and go fill the memory. */
    private static final int GONE_KEPT = 3_600;
    private static final int HELPED_MOST = 256;
    /** A wake this much later than asked for, in periods, means that this process stood still. */
    private static final double SLEPT = 0.5;

    private record Helped(String asker, long number, Moment nackAt) { }

    private final Rhythm rhythm;
    private final Carrier carrier;
    private final Random random;
    private final List<String> seeds;
    private Member self;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();
    private final Map<String, Moment> goneSince = new LinkedHashMap<>();
    private final Rumours rumours;
    private final List<String> turn = new ArrayList<>();
    private final Map<Long, Helped> helped = new LinkedHashMap<>();
    private final Tally tally = new Tally();
    private String page = "";
    private int health;
    private long numbers;
    private long periods;
    private String target;
    private long probe;
    private boolean answered;
    private boolean asked;
    private int nacksDue;
    private Moment periodEnds;
    private Moment askAt;
    private Moment wakeAsked;
    private boolean left;

    /**
     * @param self with an incarnation above that of any process before it under the name, as seconds of the wall clock
     * @param seeds addresses to join at; own and dead ones do no harm
     */
    public Swim(Member self, List<String> seeds, Rhythm rhythm, Carrier carrier, Random random) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.rhythm = rhythm;
        this.carrier = carrier;
        this.random = random;
        this.rumours = new Rumours(rhythm.tells());
        this.numbers = random.nextLong() & 0xffffffffL;
    }

    public Member self() {
        return self;
    }

    /** All that are known but this one, the gone included. */
    public Collection<Member> others() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** How many there are, this one included: those that live or may live. */
    public int there() {
        int there = 1;
        for (Member each : members.values()) {
            there += each.isThere() ? 1 : 0;
        }
        return there;
    }

    /** 0 for well; each step stretches the own periods, as the fault is likely one's own. */
    public int health() {
        return health;
    }

    public Tally tally() {
        return tally;
    }

    // ---- the course of it ----

    public void begin(Moment now) {
        join(now);
        nextPeriod(now);
        alarm();
    }

    /** Goes in good order: the others need not find out. */
    public void leave() {
        left = true;
        self = self.as(State.LEFT);
        List<Member> there = members.values().stream().filter(Member::isThere).toList();
        List<Member> some = new ArrayList<>(there);
        Collections.shuffle(some, random);
        for (Member each : some.subList(0, Math.min(some.size(), 2 * rhythm.helpers()))) {
            send(each.address(), Letter.of(Kind.PAGE, ++numbers, self.name(), "", List.of(self)));
        }
    }

    /** Time has come to look. */
    public void wake(Moment now) {
        if (left) {
            return;
        }
        Span late = wakeAsked == null ? Span.ZERO : now.since(wakeAsked);
        if (late.isLongerThan(rhythm.period().times(SLEPT))) {
            slept(late, now);
        }
        if (askAt != null && !now.isBefore(askAt) && !asked && !answered && target != null) {
            askHelpers(now);
        }
        nack(now);
        endSuspicions(now);
        if (!now.isBefore(periodEnds)) {
            endPeriod(now);
            nextPeriod(now);
        }
        alarm();
    }

    /** This process stood still: nothing that it waited for meanwhile proves anything about others. */
    private void slept(Span late, Moment now) {
        suspicions.values().forEach(each -> each.later(late));
        target = null;
        askAt = null;
        worse();
        periodEnds = now;
    }

    private void alarm() {
        Moment next = periodEnds;
        if (askAt != null && !asked && !answered && askAt.isBefore(next)) {
            next = askAt;
        }
        for (Suspicion each : suspicions.values()) {
            next = each.ends().isBefore(next) ? each.ends() : next;
        }
        for (Helped each : helped.values()) {
            next = each.nackAt != null && each.nackAt.isBefore(next) ? each.nackAt : next;
        }
        wakeAsked = next;
        carrier.wakeAt(next);
    }

    private void nextPeriod(Moment now) {
        periods++;
        periodEnds = now.plus(rhythm.period().times(1 + health));
        target = nextTarget();
        answered = false;
        asked = false;
        nacksDue = 0;
        askAt = null;
        if (target != null) {
            probe = ++numbers;
            tally.probes++;
            askAt = now.plus(rhythm.answerTime().times(1 + health));
            Member member = members.get(target);
            // A suspect hears of the suspicion first of all, so that it can say that it lives.
            send(Kind.PING, member, probe, "", member.state() == State.SUSPECT ? List.of(member) : List.of());
        }
        if (periods % ASK_GONE_EVERY == 0) {
            askOneGone();
        }
        if (there() == 1 && periods % SEEDS_EVERY == 0 || periods % (SEEDS_EVERY * 6L) == 0) {
            join(now);
        }
        forgetGone(now);
    }

    private void join(Moment now) {
        List<String> some = new ArrayList<>(seeds);
        some.remove(self.address());
        Collections.shuffle(some, random);
        for (String seed : some.subList(0, Math.min(rhythm.helpers(), some.size()))) {
            send(seed, Letter.of(Kind.JOIN, ++numbers, self.name(), "", List.of(self)));
        }
    }

    private void askOneGone() {
        List<Member> gone = members.values().stream().filter(each -> each.state() == State.DEAD).toList();
        if (!gone.isEmpty()) {
            Member one = gone.get(random.nextInt(gone.size()));
            send(Kind.PING, one, ++numbers, "", List.of(one));
        }
    }

    private void forgetGone(Moment now) {
        goneSince.entrySet().removeIf(entry -> {
            boolean old = now.since(entry.getValue()).isLongerThan(rhythm.period().times(GONE_KEPT));
            if (old) {
                members.remove(entry.getKey());
            }
            return old;
        });
    }

    /** All in turn, in an order by chance that is drawn anew each round. */
    private String nextTarget() {
        for (int tries = 0; tries < 2; tries++) {
            while (!turn.isEmpty()) {
                String next = turn.remove(turn.size() - 1);
                Member member = members.get(next);
                if (member != null && member.isThere()) {
                    return next;
                }
            }
            members.values().stream().filter(Member::isThere).map(Member::name).forEach(turn::add);
            Collections.shuffle(turn, random);
        }
        return null;
    }

    private void askHelpers(Moment now) {
        asked = true;
        List<Member> others = new ArrayList<>(members.values().stream()
            .filter(each -> each.state() == State.ALIVE && !each.name().equals(target)).toList());
        Collections.shuffle(others, random);
        List<Member> some = others.subList(0, Math.min(rhythm.helpers(), others.size()));
        nacksDue = some.size();
        for (Member each : some) {
            send(Kind.ASK, each, probe, target, List.of(members.get(target)));
        }
    }

    private void endPeriod(Moment now) {
        if (target == null) {
            return;
        }
        if (answered) {
            health = Math.max(0, health - 1);
            return;
        }
        tally.failedProbes++;
        Member member = members.get(target);
        // Helpers that do not even say that they tried: it is likely this one's own network or speed.
        health = Math.min(HEALTH_WORST, health + (nacksDue > 0 ? nacksDue : asked ? 0 : 1));
        if (member != null && member.isThere()) {
            suspect(member, self.name(), now, "no answer, nor through " + rhythm.helpers() + " others");
        }
    }

    private void worse() {
        health = Math.min(HEALTH_WORST, health + 1);
    }

    // ---- letters ----

    /** A letter has come. Anything in it may be old, repeated or wrong; only its sender's seal is known to be right. */
    public void heard(Letter letter, Moment now) {
        if (left || letter.from().equals(self.name()) && letter.kind() != Kind.ACK) {
            return;
        }
        tally.heard++;
        for (Member news : letter.news()) {
            learn(news, letter.from(), now);
        }
        Member from = members.get(letter.from());
        switch (letter.kind()) {
            case PING -> {
                if (from != null) {
                    send(Kind.ACK, from, letter.number(), "", List.of());
                } else {
                    tally.fromStrangers++;
                }
            }
            case ACK -> acknowledged(letter);
            case ASK -> help(letter, from, now);
            case NACK -> nacksDue -= letter.number() == probe && nacksDue > 0 ? 1 : 0;
            case JOIN -> {
                if (from != null) {
                    pages(from);
                }
            }
            case PAGE -> {
                // Its news are all.
            }
            case WORD, QUESTION, LESSON -> {
                if (from != null) {
                    carrier.word(from, letter.kind(), letter.word());
                }
            }
        }
        alarm();
    }

    private void acknowledged(Letter letter) {
        if (letter.number() == probe && target != null) {
            answered = true;
            return;
        }
        Helped help = helped.remove(letter.number());
        Member asker = help == null ? null : members.get(help.asker);
        if (asker != null) {
            send(Kind.ACK, asker, help.number, "", List.of());
        }
    }

    private void help(Letter letter, Member from, Moment now) {
        Member other = members.get(letter.about());
        if (from == null || other == null || helped.size() >= HELPED_MOST) {
            return;
        }
        long number = ++numbers;
        helped.put(number, new Helped(from.name(), letter.number(), now.plus(rhythm.answerTime().times(0.8))));
        send(Kind.PING, other, number, "", List.of());
    }

    private void nack(Moment now) {
        for (Map.Entry<Long, Helped> entry : new ArrayList<>(helped.entrySet())) {
            Helped help = entry.getValue();
            if (help.nackAt != null && !now.isBefore(help.nackAt)) {
                Member asker = members.get(help.asker);
                if (asker != null) {
                    send(Kind.NACK, asker, help.number, "", List.of());
                }
                // An answer that comes later is still passed on, for as long as it may matter.
                entry.setValue(new Helped(help.asker, help.number, null));
                helped.put(entry.getKey(), entry.getValue());
            }
        }
        while (helped.size() > HELPED_MOST / 2) {
            helped.remove(helped.keySet().iterator().next());
        }
    }

    /** All members, in as many letters as it takes, at most a bounded number. */
    private void pages(Member to) {
        List<Member> all = new ArrayList<>(members.values());
        all.add(self);
        Collections.shuffle(all, random);
        int sent = 0;
        for (int from = 0; from < all.size() && sent < PAGES_MOST; sent++) {
            List<Member> some = new ArrayList<>();
            int left = LetterCode.BYTES_MOST - LetterCode.head(self.name(), "", 0);
            while (from < all.size() && LetterCode.size(all.get(from)) <= left) {
                left -= LetterCode.size(all.get(from));
                some.add(all.get(from++));
            }
            send(to.address(), Letter.of(Kind.PAGE, ++numbers, self.name(), "", some));
        }
    }

    /** Tells a member a word from the decisions; false where it is not there. */
    public boolean tell(int index, byte[] word) {
        for (Member each : members.values()) {
            if (each.index() == index && each.isThere()) {
                send(each.address(), new Letter(Kind.WORD, ++numbers, self.name(), "", List.of(), word));
                return true;
            }
        }
        return false;
    }

    /** Sends a question or a lesson to a member by name; false where it is not there. */
    public boolean say(String name, Kind kind, byte[] word) {
        Member to = members.get(name);
        if (to == null || !to.isThere()) {
            return false;
        }
        send(to.address(), new Letter(kind, ++numbers, self.name(), "", List.of(), word));
        return true;
    }

    private void send(Kind kind, Member to, long number, String about, List<Member> first) {
        int bytes = LetterCode.BYTES_MOST - LetterCode.head(self.name(), about, 0);
        List<Member> news = new ArrayList<>(first);
        // Oneself always: who does not know the sender yet could not answer.
        news.add(self);
        bytes -= news.stream().mapToInt(LetterCode::size).sum();
        List<Member> pressing = rumours.take(bytes, members.size() + 1);
        news.addAll(pressing);
        bytes -= pressing.stream().mapToInt(LetterCode::size).sum();
        fill(news, bytes);
        send(to.address(), Letter.of(kind, number, self.name(), about, news));
    }

    /** What is left of a letter goes to members by turns. */
    private void fill(List<Member> news, int bytes) {
        int left = Math.min(bytes, LetterCode.BYTES_MOST / 4);
        for (int i = 0; i < members.size(); i++) {
            Map.Entry<String, Member> next = members.higherEntry(page);
            next = next == null ? members.firstEntry() : next;
            if (LetterCode.size(next.getValue()) > left) {
                return;
            }
            page = next.getKey();
            left -= LetterCode.size(next.getValue());
            news.add(next.getValue());
        }
    }

    private void send(String address, Letter letter) {
        tally.sent++;
        carrier.send(address, letter);
    }

    // ---- what is known ----

    private void learn(Member news, String from, Moment now) {
        if (news.name().equals(self.name())) {
            aboutSelf(news);
            return;
        }
        Member known = members.get(news.name());
        if (known == null) {
            if (members.size() >= rhythm.membersMost()) {
                tally.refused++;
            } else if (news.isThere()) {
                know(null, news.as(State.ALIVE), now, "told by " + from);
                if (news.state() == State.SUSPECT) {
                    suspect(members.get(news.name()), news.by(), now, "suspected by " + news.by());
                }
            }
            return;
        }
        boolean itsOwnWord = news.name().equals(from);
        if (news.state() == State.SUSPECT && known.state() == State.SUSPECT && news.incarnation() == known.incarnation()) {
            Suspicion suspicion = suspicions.get(news.name());
            if (suspicion != null && suspicion.confirmed(news.by())) {
                rumours.add(news);
            }
            return;
        }
        if (!news.overrides(known)) {
            return;
        }
        if (news.state() == State.SUSPECT) {
            // The others' suspicion is taken over with a time of one's own.
            members.put(news.name(), news.as(State.ALIVE));
            suspicions.remove(news.name());
            goneSince.remove(news.name());
            suspect(news.as(State.ALIVE), news.by(), now, "suspected by " + news.by());
            return;
        }
        if (news.state() == State.ALIVE && known.state() != State.ALIVE && itsOwnWord) {
            tally.wrongly += known.state() == State.LEFT ? 0 : 1;
        }
        know(known, news, now, switch (news.state()) {
            case ALIVE -> itsOwnWord ? "by its own word" : "told by " + from;
            case LEFT -> "it left";
            default -> "told by " + from;
        });
    }

    /** Others think this one gone: it says that it lives, with a higher incarnation than all that was said. */
    private void aboutSelf(Member news) {
        if (news.incarnation() < self.incarnation() || news.state() == State.ALIVE && news.incarnation() == self.incarnation()) {
            return;
        }
        if (news.state() != State.ALIVE || news.incarnation() > self.incarnation()) {
            self = self.again(news.incarnation() + 1);
            tally.refutations++;
            rumours.add(self);
            if (news.state() != State.ALIVE) {
                worse();
            }
        }
    }

    private void know(Member before, Member now, Moment at, String why) {
        members.put(now.name(), now);
        suspicions.remove(now.name());
        if (now.isThere()) {
            goneSince.remove(now.name());
        } else {
            goneSince.put(now.name(), at);
        }
        rumours.add(now);
        if (before == null && now.isThere()) {
            // Somewhere in the round that is under way, so that a new one is not the last to be probed.
            turn.add(turn.isEmpty() ? 0 : random.nextInt(turn.size() + 1), now.name());
        }
        carrier.changed(before, now, why);
    }

    private void suspect(Member member, String by, Moment now, String why) {
        if (suspicions.containsKey(member.name())) {
            if (suspicions.get(member.name()).confirmed(by)) {
                rumours.add(member.suspectedBy(by));
            }
            return;
        }
        Member suspect = member.suspectedBy(by);
        members.put(member.name(), suspect);
        Span least = rhythm.period().times(rhythm.suspicion() * Math.max(1, Math.log10(Math.max(1, there()))));
        int enough = Math.min(rhythm.helpers(), there() - 2);
        suspicions.put(member.name(), new Suspicion(now, by, enough, least, least.times(rhythm.suspicionMost())));
        rumours.add(suspect);
        carrier.changed(member, suspect, why);
    }

    private void endSuspicions(Moment now) {
        for (Map.Entry<String, Suspicion> entry : new ArrayList<>(suspicions.entrySet())) {
            if (!now.isBefore(entry.getValue().ends())) {
                Member suspect = members.get(entry.getKey());
                know(suspect, suspect.as(State.DEAD), now, "suspected, and silent for its time");
            }
        }
    }

    /** For checks from outside: what the state holds that must stay bounded. */
    Map<String, Integer> sizes() {
        Map<String, Integer> sizes = new HashMap<>();
        sizes.put("members", members.size());
        sizes.put("suspicions", suspicions.size());
        sizes.put("rumours", rumours.size());
        sizes.put("helped", helped.size());
        sizes.put("turn", turn.size());
        return sizes;
    }
}
