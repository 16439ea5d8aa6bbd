package flintlead.golden;

import flintlead.configuration.startup.StartupSettings;
import flintlead.platform.PlatformConfigAccess;
import flintlead.platform.journal.JsonReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A gateway's {@code config.json} of the platform and the bench's lines: every key that is read,
 * and what is made of it.
 */
class PlatformSettingsTest {

  private static final String FILE = "config.json";

  private static String printed(StartupSettings facts) {
    Printed printed = new Printed().deployment(facts.deployment());
    printed
        .under("")
        .line("services", facts.namesOf("services"))
        .line("tenants", facts.namesOf("tenants"))
        .line("dcs", facts.textList("dcs"))
        .line("kinds", facts.textList("kinds"));
    for (String key :
        List.of(
            "limits.max_streams",
            "limits.dial_timeout",
            "limits.conn_idle",
            "rules.drain_grace",
            "services.0.deadline")) {
      printed.line(key, facts.number(key));
    }
    return printed.toString();
  }

  @Test
  void everyKeyOfAGatewaysFileIsRead() {
    Map<?, ?> file = (Map<?, ?>) new JsonReader().read(Golden.read(FILE));
    Golden.check(
        "config.txt",
        PlatformConfigAccess.listValues(Golden.read(FILE))
            + printed(StartupSettings.fromNested((Map<?, ?>) file.get("settings"))));
  }

  @Test
  void everyKeyOfTheBenchsLinesIsRead() {
    Golden.check(
        "startup-facts-read.txt",
        printed(StartupSettings.parseLines(Golden.text("startup-facts.txt"))));
  }

  @Test
  void faultsNameKeysAsBefore() {
    String good = Golden.text(FILE);
    StringBuilder faults = new StringBuilder();
    for (String key :
        List.of(
            "name",
            "listen",
            "seed",
            "limits",
            "memory_mb",
            "sockets",
            "journal",
            "known",
            "entries",
            "settings",
            "services",
            "tick",
            "attempts_cap",
            "max_streams",
            "dial_timeout",
            "conn_idle",
            "drain_grace",
            "answer_slack",
            "aim",
            "deadline",
            "effect",
            "window",
            "group")) {
      String bad = good.replaceAll("\"" + key + "\":", "\"no_" + key + "\":");
      faults
          .append(key)
          .append(": ")
          .append(PlatformConfigAccess.errorOf(bad.getBytes(StandardCharsets.UTF_8)))
          .append('\n');
    }
    Golden.check("config-faults.txt", faults.toString());
  }
}
