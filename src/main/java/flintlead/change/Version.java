package flintlead.change;

import flintlead.pool.Blend;
import flintlead.pool.Layout;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;

/** One state of the host list and of the ways to it, never changed; known by a digest of what it says, not of how it was written. */
public final class Version {

    /** A host of it. {@code addresses} in the order in which they are tried. */
    public record Line(String name, List<String> addresses, int zone, int cell, int kind, double weight, boolean drains) {

        public Line {
            addresses = List.copyOf(addresses);
        }

        Line draining() {
            return new Line(name, addresses, zone, cell, kind, weight, true);
        }

        String text() {
            return name + "\t" + String.join(AND, addresses) + "\t" + zone + "\t" + cell + "\t" + kind + "\t" + weight + "\t"
                + (drains ? "drains" : "ready");
        }
    }

    /** Between the members of a list; addresses of sockets may hold spaces. */
    private static final String AND = "\u001f";
    private static final int DIGEST = 12;
    private static final int FIELDS = 7;

    private final TreeMap<String, Line> lines = new TreeMap<>();
    private final Blend blend;
    private final String id;

    /** @throws IllegalArgumentException when a name stands twice */
    public Version(List<Line> all, Layout layout) {
        this(all, Blend.of(layout));
    }

    /** Hosts without pools. */
    public Version(List<Line> all) {
        this(all, Layout.NONE);
    }

    Version(List<Line> all, Blend blend) {
        this.blend = blend;
        for (Line each : all) {
            if (lines.put(each.name(), each) != null) {
                throw new IllegalArgumentException("host '" + each.name() + "' stands twice");
            }
        }
        id = DigestUtils.sha256Hex(text().getBytes(StandardCharsets.UTF_8)).substring(0, DIGEST);
    }

    public String id() {
        return id;
    }

    public Map<String, Line> lines() {
        return Collections.unmodifiableMap(lines);
    }

    public Layout layout() {
        return blend.second();
    }

    /** How far its layout is in force: whole in all versions but those between. */
    public Blend blend() {
        return blend;
    }

    /** The hosts as pools look at them. */
    public List<Layout.Standing> standing() {
        return lines.values().stream().map(line -> new Layout.Standing(line.name(), line.zone(), line.kind(), !line.drains())).toList();
    }

    public long ready() {
        return lines.values().stream().filter(line -> !line.drains()).count();
    }

    /** Lines of pools and routes where there are any, then a line a host, in the order of names. */
    public String text() {
        StringBuilder text = new StringBuilder(blend.isWhole() && layout().equals(Layout.NONE) ? "" : blend.text());
        lines.values().forEach(line -> text.append(line.text()).append('\n'));
        return text.toString();
    }

    /** @throws IllegalArgumentException when it is no such text */
    public static Version read(String text) {
        List<Line> lines = new ArrayList<>();
        List<String> ways = text.lines().filter(line -> line.startsWith("\t")).toList();
        for (String each : text.lines().skip(ways.size()).toList()) {
            String[] fields = each.split("\t", -1);
            if (fields.length != FIELDS) {
                throw new IllegalArgumentException("a host of " + fields.length + " fields");
            }
            lines.add(new Line(fields[0], List.of(fields[1].split(AND)), Integer.parseInt(fields[2]), Integer.parseInt(fields[3]),
                Integer.parseInt(fields[4]), Double.parseDouble(fields[5]), fields[6].equals("drains")));
        }
        Layout layout = ways.isEmpty() ? Layout.NONE : Layout.read(ways);
        if (!layout.faults().isEmpty()) {
            throw new IllegalArgumentException(String.join("; ", layout.faults()));
        }
        return new Version(lines, layout);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Version version && version.id.equals(id);
    }

    @Override
    public int hashCode() {
        return id.hashCode();
    }

    @Override
    public String toString() {
        return id;
    }
}
