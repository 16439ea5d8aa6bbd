package flintlead.standin;

import flintlead.time.Moment;
import flintlead.time.Span;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** What a group of hosts remembers of tokens, so that a repeat within the window is dropped. */
public final class Repeats {

    private final Span window;
    private final Map<String, Moment> seen = new LinkedHashMap<>();

    public Repeats(Span window) {
        this.window = window;
    }

    /** Whether the token is new to the group; from then on it is not, for the window's time. */
    boolean isNew(String token, Moment now) {
        Iterator<Moment> oldest = seen.values().iterator();
        while (oldest.hasNext() && now.since(oldest.next()).isLongerThan(window)) {
            oldest.remove();
        }
        return seen.putIfAbsent(token, now) == null;
    }

    /** It turned out not to have run: it may come again. */
    void forget(String token) {
        seen.remove(token);
    }
}
