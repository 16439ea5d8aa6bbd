package flintlead.platform;

import flintlead.facts.StartupFacts;
import flintlead.loop.Address;
import flintlead.platform.journal.Json;
import java.util.List;
import java.util.Map;

/** The file that a gateway is told by where it stands and whom it works with. */
record StartFile(String name, Address listen, long seed, int memoryMb, int sockets, Address journal, List<?> known,
                 StartupFacts facts) {

    private static final int SOCKETS_LEAST = 64;
    private static final int SOCKETS_MOST = 1 << 20;

    /** @throws IllegalArgumentException that names key and fault */
    static StartFile read(Json json, byte[] bytes) {
        if (!(json.read(bytes) instanceof Map<?, ?> file)) {
            throw new IllegalArgumentException("the file is no JSON object");
        }
        Map<?, ?> limits = map(file, "limits");
        Object known = map(file, "known").get("entries");
        if (!(known instanceof List<?> events)) {
            throw new IllegalArgumentException("known.entries is no list");
        }
        long seed;
        try {
            seed = Long.parseUnsignedLong(text(file, "seed"), 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed must be hex digits");
        }
        StartupFacts facts = StartupFacts.ofNested(map(file, "settings"));
        if (facts.names("services").isEmpty()) {
            throw new IllegalArgumentException("settings.services is missing or empty");
        }
        return new StartFile(text(file, "name"), address(file, "listen"), seed,
            whole(limits, "limits.", "memory_mb", 1, 1 << 20), whole(limits, "limits.", "sockets", SOCKETS_LEAST, SOCKETS_MOST),
            address(file, "journal"), events, facts);
    }

    private static Map<?, ?> map(Map<?, ?> file, String key) {
        if (file.get(key) instanceof Map<?, ?> map) {
            return map;
        }
        throw new IllegalArgumentException(key + " is missing or no object");
    }

    private static String text(Map<?, ?> file, String key) {
        if (file.get(key) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw new IllegalArgumentException(key + " is missing or no text");
    }

    private static Address address(Map<?, ?> file, String key) {
        try {
            return Address.parseTcp(text(file, key));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage(), e);
        }
    }

    private static int whole(Map<?, ?> file, String under, String key, int least, int most) {
        if (file.get(key) instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
            return number.intValue();
        }
        throw new IllegalArgumentException(under + key + " must be a number from " + least + " to " + most);
    }
}
