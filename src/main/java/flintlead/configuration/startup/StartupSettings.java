package flintlead.configuration.startup;

import flintlead.scheduling.api.Deployment;
import flintlead.scheduling.api.TriggerType;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Settings by their path, such as {@code services.0.worth}. An unknown key is ignored, a missing
 * one is zero, false or empty. Immutable.
 */
public final class StartupSettings {

  private static final String COUNT = ".count";

  private final Map<String, String> values;

  private StartupSettings(Map<String, String> values) {
    this.values = values;
  }

  /** Parses lines of path=value; other lines are ignored. */
  public static StartupSettings parseLines(String text) {
    Map<String, String> values = new HashMap<>();
    for (String line : text.split("\n")) {
      int equals = line.indexOf('=');
      if (equals > 0) {
        values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
      }
    }
    return new StartupSettings(values);
  }

  /**
   * Flattens nested maps and lists, as JSON has them: a list has a count, its elements by their
   * numbers, and all of them joined by commas.
   */
  public static StartupSettings fromNested(Map<?, ?> nested) {
    Map<String, String> values = new HashMap<>();
    flatten("", nested, values);
    return new StartupSettings(values);
  }

  private static void flatten(String path, Object value, Map<String, String> into) {
    if (value instanceof Map<?, ?> members) {
      members.forEach(
          (key, member) ->
              flatten(path.isEmpty() ? key.toString() : path + "." + key, member, into));
    } else if (value instanceof List<?> list) {
      flattenList(path, list, into);
    } else if (value != null) {
      into.put(path, value.toString());
    }
  }

  private static void flattenList(String path, List<?> list, Map<String, String> into) {
    into.put(path + COUNT, Integer.toString(list.size()));
    StringJoiner joined = new StringJoiner(",");
    for (int i = 0; i < list.size(); i++) {
      flatten(path + "." + i, list.get(i), into);
      joined.add(String.valueOf(list.get(i)));
    }
    into.put(path, joined.toString());
  }

  /**
   * The deployment that the settings describe.
   *
   * @throws IllegalArgumentException that names the key of a value that is malformed
   */
  public Deployment deployment() {
    return new Deployment(
        whole("index"),
        whole("group_size"),
        whole("zone"),
        span("tick"),
        is("discovery", "on_request"),
        triggerTypes(),
        customerQuotas(),
        span("rules.answer_slack"),
        span("rules.ask_within"),
        number("rules.cold_from"),
        span("rules.warm_after"),
        number("rules.fall_multiple"),
        span("rules.overload_for"),
        whole("limits.attempts_cap"),
        flag("limits.cancel"),
        flag("limits.second_copies"),
        flag("limits.probes"),
        flag("limits.peer_messages"),
        flag("limits.retry_after"),
        span("limits.max_retry_after"),
        !is("extra.when_absent", "miss"),
        flag("extra.may_order"),
        flag("extra.tells_warm"),
        flag("extra.counts_alike"),
        span("extra.idle_life"),
        span("extra.load_wait"),
        span("extra.loads_within"),
        number("extra.free_loads"),
        number("extra.load_share"),
        split(text("feedback.names")));
  }

  private List<TriggerType> triggerTypes() {
    List<TriggerType> types = new ArrayList<>();
    for (int i = 0; i < whole("services" + COUNT); i++) {
      types.add(triggerType("services." + i + "."));
    }
    return types;
  }

  private TriggerType triggerType(String prefix) {
    TriggerType.Effect effect =
        switch (text(prefix + "effect")) {
          case "repeatable" -> TriggerType.Effect.IDEMPOTENT;
          case "by_key" -> TriggerType.Effect.TOKENED;
          default -> TriggerType.Effect.NON_IDEMPOTENT;
        };
    TriggerType.Group group =
        switch (text(prefix + "group")) {
          case "all" -> TriggerType.Group.ALL;
          case "zone" -> TriggerType.Group.ZONE;
          default -> TriggerType.Group.CELL;
        };
    return new TriggerType(
        span(prefix + "aim"),
        number(prefix + "worth"),
        effect,
        group,
        span(prefix + "window"),
        flag(prefix + "streaming"));
  }

  private List<Double> customerQuotas() {
    List<Double> quotas = new ArrayList<>();
    for (int i = 0; i < whole("tenants" + COUNT); i++) {
      quotas.add(number("tenants." + i + ".quota_per_s"));
    }
    return quotas;
  }

  /** The names of a list of named objects, in their order. */
  public List<String> namesOf(String list) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < whole(list + COUNT); i++) {
      names.add(text(list + "." + i + ".name"));
    }
    return names;
  }

  /** A list of strings. One by one where they are counted, as a name may hold a comma. */
  public List<String> textList(String key) {
    if (!values.containsKey(key + COUNT)) {
      return split(text(key));
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < whole(key + COUNT); i++) {
      texts.add(text(key + "." + i));
    }
    return texts;
  }

  private static List<String> split(String joined) {
    return joined.isEmpty() ? List.of() : List.of(joined.split(","));
  }

  /** A string. */
  public String text(String key) {
    return values.getOrDefault(key, "");
  }

  /**
   * A number.
   *
   * @throws IllegalArgumentException that names the key if the value is none
   */
  public double number(String key) {
    String value = values.get(key);
    try {
      return value == null || value.isEmpty() ? 0 : Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(key + " is not a number: " + value, e);
    }
  }

  /**
   * A span, which the settings give in microseconds.
   *
   * @throws IllegalArgumentException that names the key if the value is no number
   */
  public Span span(String key) {
    return new Span((long) number(key));
  }

  private int whole(String key) {
    return (int) number(key);
  }

  private boolean flag(String key) {
    return is(key, "true");
  }

  private boolean is(String key, String value) {
    return value.equals(values.get(key));
  }
}
