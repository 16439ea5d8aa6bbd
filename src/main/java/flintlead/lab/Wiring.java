package flintlead.lab;

import flintlead.day.Net;
import flintlead.loop.Place;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The ways between places: which are cut, slow or lossy just now. Nothing is held for those that are as usual. */
final class Wiring implements Net {

    /** One direction between two places. */
    static final class Way {
        boolean cut;
        double slow = 1;
        double loss;
        /** Streams that hold bytes, or a close, until the way is whole. */
        final Set<VirtualStream> held = new LinkedHashSet<>();

        private boolean isUsual() {
            return !cut && slow == 1 && loss == 0 && held.isEmpty();
        }
    }

    static final Way USUAL = new Way();

    private final Map<VirtualPlace, Map<VirtualPlace, Way>> ways = new HashMap<>();

    /** The way from one place to another as it is now; not to be changed. */
    Way way(VirtualPlace from, VirtualPlace to) {
        if (ways.isEmpty()) {
            return USUAL;
        }
        Map<VirtualPlace, Way> out = ways.get(from);
        return out == null ? USUAL : out.getOrDefault(to, USUAL);
    }

    private Way own(Place from, Place to) {
        return ways.computeIfAbsent((VirtualPlace) from, any -> new HashMap<>())
            .computeIfAbsent((VirtualPlace) to, any -> new Way());
    }

    private void tidy(Place from, Place to) {
        Map<VirtualPlace, Way> out = ways.get((VirtualPlace) from);
        if (out != null && out.containsKey((VirtualPlace) to) && out.get((VirtualPlace) to).isUsual()) {
            out.remove((VirtualPlace) to);
            if (out.isEmpty()) {
                ways.remove((VirtualPlace) from);
            }
        }
    }

    @Override
    public void cut(Place from, Place to, boolean bothWays) {
        own(from, to).cut = true;
        if (bothWays) {
            own(to, from).cut = true;
        }
    }

    @Override
    public void heal(Place one, Place other) {
        mend(one, other);
        mend(other, one);
    }

    private void mend(Place from, Place to) {
        Way way = own(from, to);
        way.cut = false;
        Deque<VirtualStream> again = new ArrayDeque<>(way.held);
        way.held.clear();
        tidy(from, to);
        again.forEach(VirtualStream::passable);
    }

    @Override
    public void vanish(Place place) {
        ((VirtualPlace) place).vanish();
    }

    @Override
    public void back(Place place) {
        ((VirtualPlace) place).back();
    }

    @Override
    public void slow(Place one, Place other, double factor) {
        own(one, other).slow = factor;
        own(other, one).slow = factor;
        tidy(one, other);
        tidy(other, one);
    }

    @Override
    public void lose(Place one, Place other, double share) {
        own(one, other).loss = share;
        own(other, one).loss = share;
        tidy(one, other);
        tidy(other, one);
    }
}
