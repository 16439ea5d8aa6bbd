package flintlead.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import flintlead.configuration.startup.StartupSettings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings that a deployment may omit, and settings with which a gateway refuses to start. */
@Timeout(60)
class PlatformConfigTest {

  private PlatformFixture fixture;

  @AfterEach
  void closeFixture() throws Exception {
    if (fixture != null) {
      fixture.close();
    }
  }

  @Test
  void aDeploymentWithoutCustomersServesEveryClient() throws Exception {
    fixture =
        new PlatformFixture(1, 256)
            .withSetting("\"tenants\":[{\"name\":\"mill\",\"quota_per_s\":1000}]", "\"tenants\":[]")
            .start();
    assertEquals(
        200,
        fixture
            .client()
            .send(PlatformFixture.invocationRequest(1, "x").replace("X-Merchant: mill\r\n", ""))
            .response()
            .status());
    assertEquals(200, fixture.invoke(2, "x").status());
  }

  @Test
  void aNameMayContainAComma() {
    StartupSettings settings =
        StartupSettings.fromNested(Map.of("dcs", List.of("perth, west", "east")));
    assertEquals(List.of("perth, west", "east"), settings.textList("dcs"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
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
        "group",
        "name\":\"check"
      })
  void aMissingSettingIsNamedInTheError(String key) throws Exception {
    fixture = new PlatformFixture(1, 256);
    String quoted = "\"" + key + "\"";
    fixture.withSetting(quoted, "\"not-" + key + "\"");
    IllegalArgumentException fault = assertFault();
    assertTrue(fault.getMessage().contains(key.replaceAll("\".*", "")), fault.getMessage());
    assertFalse(fault.getMessage().contains("\n"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"tick\":0", "\"tick\":-1", "\"tick\":1e99", "\"tick\":\"soon\""})
  void aSettingOutOfRangeIsNamedInTheError(String setting) throws Exception {
    fixture = new PlatformFixture(1, 256).withSetting("\"tick\":1000", setting);
    assertTrue(assertFault().getMessage().contains("tick"));
  }

  @Test
  void anUnknownEffectIsAnError() throws Exception {
    fixture =
        new PlatformFixture(1, 256)
            .withSetting("\"effect\":\"by_key\"", "\"effect\":\"sometimes\"");
    assertTrue(assertFault().getMessage().contains("effect"));
  }

  private IllegalArgumentException assertFault() {
    IllegalArgumentException fault = null;
    try {
      fixture.start();
    } catch (IllegalArgumentException e) {
      fault = e;
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    assertNotNull(fault);
    fixture.platform = null;
    return fault;
  }
}
