package flintlead.pool;

/**
 * One layout that passes into another: functions whose hash lies below the share are led by the second, the others by the first. A
 * larger share takes more over and gives none back.
 */
public record Blend(Layout first, Layout second, double share) {

    /** That layout alone. */
    public static Blend of(Layout layout) {
        return new Blend(layout, layout, 1);
    }

    public boolean isWhole() {
        return share >= 1 || first.equals(second);
    }

    /** Its text, the second's first. */
    public String text() {
        return isWhole() ? second.text() : second.text() + "\tof " + share + "\n" + first.text();
    }
}
