package flintlead.change;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;

/** One state of the host list, never changed; known by a digest of what it says, not of how it was written. */
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
            return name + "\t" + String.join(" ", addresses) + "\t" + zone + "\t" + cell + "\t" + kind + "\t" + weight + "\t"
                + (drains ? "drains" : "ready");
        }
    }

    private static final int DIGEST = 12;
    private static final int FIELDS = 7;

    private final TreeMap<String, Line> lines = new TreeMap<>();
    private final String id;

    /** @throws IllegalArgumentException when a name stands twice */
    public Version(List<Line> all) {
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

    public long ready() {
        return lines.values().stream().filter(line -> !line.drains()).count();
    }

    /** A line a host, in the order of names. */
    public String text() {
        StringBuilder text = new StringBuilder();
        lines.values().forEach(line -> text.append(line.text()).append('\n'));
        return text.toString();
    }

    /** @throws IllegalArgumentException when it is no such text */
    public static Version read(String text) {
        List<Line> lines = new ArrayList<>();
        for (String each : text.lines().toList()) {
            String[] fields = each.split("\t", -1);
            if (fields.length != FIELDS) {
                throw new IllegalArgumentException("a host of " + fields.length + " fields");
            }
            lines.add(new Line(fields[0], List.of(fields[1].split(" ")), Integer.parseInt(fields[2]), Integer.parseInt(fields[3]),
                Integer.parseInt(fields[4]), Double.parseDouble(fields[5]), fields[6].equals("drains")));
        }
        return new Version(lines);
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
