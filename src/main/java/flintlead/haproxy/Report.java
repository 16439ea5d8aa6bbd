package flintlead.haproxy;

import java.util.ArrayList;
import java.util.List;

/** What became of each line of the source. Each stands in it once. */
public final class Report {

    /** What can become of a line. */
    public enum Fate {
        /** It means the same here. */
        MAPPED,
        /** It is taken over, and something differs. */
        DIFFERS,
        /** It is understood and has no place here. */
        DROPPED,
        /** It is not understood. */
        UNKNOWN
    }

    /** One line and its fate, with a reason for any but the first. */
    public record Entry(String file, int line, Fate fate, String text, String why) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byFile = file.compareTo(other.file);
            return byFile != 0 ? byFile : Integer.compare(line, other.line);
        }

        @Override
        public String toString() {
            return file + ":" + line + ": " + text + (why.isEmpty() ? "" : "  -- " + why);
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final List<String> assumed = new ArrayList<>();

    void add(Line line, Fate fate, String why) {
        entries.add(new Entry(line.file(), line.number(), fate, line.text(), why));
    }

    void add(Trouble trouble) {
        entries.add(new Entry(trouble.file(), trouble.line(), Fate.UNKNOWN, trouble.text(), trouble.why()));
    }

    /** Something that the files need and the source does not say. */
    void assume(String what) {
        if (!assumed.contains(what)) {
            assumed.add(what);
        }
    }

    public List<Entry> entries() {
        return entries.stream().sorted().toList();
    }

    public List<Entry> of(Fate fate) {
        return entries.stream().filter(entry -> entry.fate() == fate).sorted().toList();
    }

    public List<String> assumed() {
        return assumed;
    }

    /** As text, the worst first. */
    public String print() {
        StringBuilder text = new StringBuilder();
        for (Fate fate : new Fate[] {Fate.UNKNOWN, Fate.DROPPED, Fate.DIFFERS, Fate.MAPPED}) {
            List<Entry> some = of(fate);
            text.append(switch (fate) {
                case UNKNOWN -> "not understood";
                case DROPPED -> "dropped";
                case DIFFERS -> "taken over with a difference";
                case MAPPED -> "taken over";
            }).append(": ").append(some.size()).append('\n');
            some.forEach(entry -> text.append("  ").append(entry).append('\n'));
        }
        if (!assumed.isEmpty()) {
            text.append("assumed, as the source does not say it: ").append(assumed.size()).append('\n');
            assumed.forEach(each -> text.append("  ").append(each).append('\n'));
        }
        return text.toString();
    }
}
