package flintlead.learn;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Answers questions within a ration: a few gateways at a time, so many pages a second, whatever the number of those that
 * have just begun. Half a fleet that restarts must not make servers of facts of the other half. The facts are gathered
 * at most so often, and only when they are asked for.
 */
public final class Teacher {

    /**
     * Its ration.
     *
     * @param pupils taught at a time
     * @param forgets a pupil that has not asked for so long makes way
     * @param pages a second, over all pupils
     * @param keeps gathered facts are handed out for so long, growing older meanwhile
     */
    public record Ration(int pupils, Span forgets, double pages, Span keeps) {

        public static final Ration USUAL = new Ration(2, Span.ofMillis(1_000), 100, Span.ofMillis(500));
    }

    private final Ration ration;
    private final Supplier<List<Fact>> facts;
    private final Moment begunAt;
    private final Span freshFor;
    private final Map<String, Moment> pupils = new LinkedHashMap<>();
    private List<Fact> gathered = List.of();
    private Moment gatheredAt;
    private double pages;
    private Moment paidAt;
    private long taught;
    private long turnedAway;

    /**
     * @param facts what this gateway has seen itself; nothing that it was told, lest facts go in a circle and grow young
     * @param freshFor after its beginning it knows too little to teach
     */
    public Teacher(Ration ration, Supplier<List<Fact>> facts, Moment begunAt, Span freshFor) {
        this.ration = ration;
        this.facts = facts;
        this.begunAt = begunAt;
        this.freshFor = freshFor;
        this.paidAt = begunAt;
        this.pages = ration.pages();
    }

    /** @return the answer as bytes; null for what is no question, which gets none */
    public byte[] answer(String pupil, byte[] asked, Moment now) {
        Question question;
        try {
            question = Question.read(asked);
        } catch (IllegalArgumentException e) {
            return null;
        }
        if (now.since(begunAt).isShorterThan(freshFor)) {
            return new Lesson(question.number(), Lesson.Kind.FRESH, List.of()).write();
        }
        pages = Math.min(ration.pages(), pages + now.since(paidAt).micros() / 1e6 * ration.pages());
        paidAt = now;
        pupils.values().removeIf(at -> now.since(at).isLongerThan(ration.forgets()));
        if (!pupils.containsKey(pupil) && pupils.size() >= ration.pupils() || pages < 1) {
            turnedAway++;
            return new Lesson(question.number(), Lesson.Kind.BUSY, List.of()).write();
        }
        pages--;
        taught++;
        pupils.put(pupil, now);
        List<Fact> page = new ArrayList<>();
        Span older = gather(now);
        boolean more = false;
        for (int i = behind(question); i < gathered.size() && !more; i++) {
            Fact each = gathered.get(i);
            if ((each.function() & 1) == question.half() && !each.age().plus(older).isLongerThan(Lesson.AGE_MOST)) {
                if (page.size() == Lesson.FACTS_MOST) {
                    more = true;
                } else {
                    page.add(each.older(older));
                }
            }
        }
        return new Lesson(question.number(), more ? Lesson.Kind.MORE : Lesson.Kind.LAST, page).write();
    }

    private Span gather(Moment now) {
        if (gatheredAt == null || now.since(gatheredAt).isLongerThan(ration.keeps())) {
            gathered = new ArrayList<>(facts.get());
            Collections.sort(gathered);
            gatheredAt = now;
        }
        return now.since(gatheredAt);
    }

    /** The first fact behind the place that the question names. */
    private int behind(Question question) {
        if (question.function() == 0 && question.host() == 0) {
            return 0;
        }
        int at = Collections.binarySearch(gathered, new Fact(question.function(), question.host(), 1, Span.ZERO));
        return at >= 0 ? at + 1 : -at - 1;
    }

    public long taught() {
        return taught;
    }

    public long turnedAway() {
        return turnedAway;
    }
}
