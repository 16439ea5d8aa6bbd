package flintlead.testing.simulation.experiment;

import flintlead.testing.scenario.Scenario;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What an experiment varies from arm to arm of one scenario.
 *
 * @param values as written, in their order
 */
public record Factor(Kind kind, List<String> values) {

  private static final double MAX_VALUE = 10_000;

  /** What can be varied. The names, in lower case, are those of the command line. */
  public enum Kind {
    /** Number of hosts. */
    HOSTS,
    /** Number of gateways. */
    GATEWAYS,
    /** Invocations per second, as a multiple of the scenario's. */
    LOAD,
    /** Scheduling policy. */
    POLICY
  }

  /**
   * Parses a factor as {@code hosts=8,16,32}, {@code load=0.5,1,1.5} or {@code
   * policy=control,random}.
   *
   * @throws IllegalArgumentException that says how it should be written
   */
  public static Factor parse(String text) {
    int equals = text.indexOf('=');
    Kind kind = equals > 0 ? parseKind(text.substring(0, equals)) : null;
    if (kind == null) {
      throw new IllegalArgumentException(
          "'"
              + text
              + "': write hosts=8,16, gateways=1,16,300, load=0.5,1,1.5 or"
              + " policy=control,random");
    }
    List<String> values = new ArrayList<>(List.of(text.substring(equals + 1).split(",")));
    for (String value : values) {
      if (!isValid(kind, value)) {
        throw new IllegalArgumentException(
            "'"
                + value
                + "' in '"
                + text
                + "': write "
                + (kind == Kind.LOAD
                    ? "a number above 0, as 0.5"
                    : "a whole number from 1 to 10000"));
      }
    }
    return new Factor(kind, List.copyOf(values));
  }

  private static Kind parseKind(String text) {
    for (Kind kind : Kind.values()) {
      if (kind.name().equalsIgnoreCase(text)) {
        return kind;
      }
    }
    return null;
  }

  private static boolean isValid(Kind kind, String value) {
    if (kind == Kind.POLICY) {
      return true;
    }
    try {
      double number = Double.parseDouble(value);
      return number > 0
          && number <= MAX_VALUE
          && (kind == Kind.LOAD || number == Math.rint(number));
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /** The scenario once for each value, by the name of the arm. */
  public Map<String, Scenario> arms(Scenario scenario) {
    Map<String, Scenario> arms = new LinkedHashMap<>();
    for (String value : values) {
      arms.put(kind.name().toLowerCase(Locale.ROOT) + "=" + value, arm(scenario, value));
    }
    return arms;
  }

  private Scenario arm(Scenario scenario, String value) {
    return switch (kind) {
      case HOSTS ->
          scenario.resized(
              scenario.gateways(),
              (int) Double.parseDouble(value),
              scenario.invocationsPerSecond());
      case GATEWAYS ->
          scenario.resized(
              (int) Double.parseDouble(value), scenario.hosts(), scenario.invocationsPerSecond());
      case LOAD ->
          scenario.resized(
              scenario.gateways(),
              scenario.hosts(),
              scenario.invocationsPerSecond() * Double.parseDouble(value));
      case POLICY -> scenario.withPolicy(value);
    };
  }
}
