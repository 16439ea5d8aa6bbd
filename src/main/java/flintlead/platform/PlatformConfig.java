package flintlead.platform;

import flintlead.configuration.startup.StartupSettings;
import flintlead.platform.journal.JsonReader;
import flintlead.transport.loop.Address;
import java.util.List;
import java.util.Map;

/**
 * The content of a gateway's configuration file.
 *
 * @param name name of this gateway
 * @param listen address to which clients connect
 * @param seed seed of all random choices
 * @param memoryMb memory available to the process, in MB
 * @param sockets number of file descriptors that the process may open
 * @param journal address of the journal service
 * @param initialHostEvents host events up to the start of the gateway, as JSON maps
 * @param settings settings of the deployment
 */
record PlatformConfig(
    String name,
    Address listen,
    long seed,
    int memoryMb,
    int sockets,
    Address journal,
    List<?> initialHostEvents,
    StartupSettings settings) {

  private static final int MIN_SOCKETS = 64;
  private static final int MAX_SOCKETS = 1 << 20;
  private static final int MAX_MEMORY_MB = 1 << 20;
  private static final int SEED_RADIX = 16;

  /**
   * A century in microseconds. Limits settings so that sums of spans and moments can't overflow.
   */
  private static final double MAX_MICROS = 3.2e15;

  private static final List<String> POSITIVE_SETTINGS =
      List.of(
          "tick",
          "limits.attempts_cap",
          "limits.max_streams",
          "limits.dial_timeout",
          "limits.conn_idle",
          "rules.drain_grace",
          "rules.answer_slack");
  private static final List<String> EFFECTS = List.of("repeatable", "by_key", "once");
  private static final List<String> GROUPS = List.of("all", "zone", "cell");

  /**
   * Parses and validates a file.
   *
   * @throws IllegalArgumentException if the file is invalid; the message names the key and the
   *     reason
   */
  static PlatformConfig parse(JsonReader json, byte[] bytes) {
    if (!(json.read(bytes) instanceof Map<?, ?> file)) {
      throw new IllegalArgumentException("the file is not a JSON object");
    }
    Map<?, ?> limits = map(file, "limits");
    if (!(map(file, "known").get("entries") instanceof List<?> events)) {
      throw new IllegalArgumentException("known.entries is no list");
    }
    long seed = seed(text(file, "seed"));
    StartupSettings settings = StartupSettings.fromNested(map(file, "settings"));
    checkSettings(settings);
    return new PlatformConfig(
        text(file, "name"),
        address(file, "listen"),
        seed,
        limit(limits, "memory_mb", 1, MAX_MEMORY_MB),
        limit(limits, "sockets", MIN_SOCKETS, MAX_SOCKETS),
        address(file, "journal"),
        events,
        settings);
  }

  /** The same configuration without the host events, which can be large, once they are applied. */
  PlatformConfig withoutHostEvents() {
    return new PlatformConfig(name, listen, seed, memoryMb, sockets, journal, List.of(), settings);
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("seed must be hex digits", e);
    }
  }

  /**
   * Checks the settings on which scheduling rules and limits depend. They have no defaults, because
   * a default would be right for one deployment only.
   */
  private static void checkSettings(StartupSettings settings) {
    int triggerTypes = settings.namesOf("services").size();
    if (triggerTypes == 0) {
      throw new IllegalArgumentException("settings.services is missing or empty");
    }
    POSITIVE_SETTINGS.forEach(key -> checkPositive(settings, key));
    for (int i = 0; i < triggerTypes; i++) {
      checkTriggerType(settings, "services." + i + ".");
    }
  }

  private static void checkTriggerType(StartupSettings settings, String prefix) {
    if (settings.text(prefix + "name").isEmpty()) {
      throw new IllegalArgumentException("settings." + prefix + "name is missing or empty");
    }
    checkPositive(settings, prefix + "aim");
    checkPositive(settings, prefix + "deadline");
    String effect = settings.text(prefix + "effect");
    if (!EFFECTS.contains(effect)) {
      throw new IllegalArgumentException(
          "settings." + prefix + "effect must be repeatable, by_key or once");
    }
    if (effect.equals("by_key")) {
      checkPositive(settings, prefix + "window");
      if (!GROUPS.contains(settings.text(prefix + "group"))) {
        throw new IllegalArgumentException(
            "settings." + prefix + "group must be all, zone or cell");
      }
    }
  }

  private static void checkPositive(StartupSettings settings, String key) {
    double value = settings.number(key);
    if (!(value > 0 && value < MAX_MICROS)) {
      throw new IllegalArgumentException("settings." + key + " must be a number above 0");
    }
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

  private static int limit(Map<?, ?> limits, String key, int min, int max) {
    if (limits.get(key) instanceof Number number
        && number.doubleValue() >= min
        && number.doubleValue() <= max) {
      return number.intValue();
    }
    throw new IllegalArgumentException(
        "limits." + key + " must be a number from " + min + " to " + max);
  }
}
