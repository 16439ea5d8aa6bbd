package flintlead.daemon;

import static flintlead.daemon.JsonObjects.object;

import flintlead.configuration.transaction.ConfigurationVersion;
import flintlead.configuration.transaction.VersionDifference;
import flintlead.routing.pool.Pool;
import flintlead.routing.pool.Route;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * JSON of configuration versions and their differences. The keys and their order are the control
 * socket's wire format.
 */
final class ConfigurationJson {

  private ConfigurationJson() {}

  static Map<String, Object> difference(VersionDifference difference) {
    return object(
        "added", difference.added(),
        "removed", difference.removed(),
        "drained", difference.drained(),
        "back", difference.restored(),
        "moved", difference.moved(),
        "otherwise", difference.modified(),
        "pools", difference.pools(),
        "routes", difference.routes(),
        "none", difference.isNone());
  }

  /** Returns a version as a configuration file has it; JSON is YAML too. */
  static Map<String, Object> version(ConfigurationVersion version) {
    return object(
        "hosts", version.hosts().values().stream().map(ConfigurationJson::host).toList(),
        "pools", version.layout().pools().stream().map(ConfigurationJson::pool).toList(),
        "routes", version.layout().routes().stream().map(ConfigurationJson::route).toList());
  }

  private static Map<String, Object> host(ConfigurationVersion.HostDefinition host) {
    return object(
        "name", host.name(),
        "addresses", host.addresses(),
        "zone", host.zone(),
        "cell", host.cell(),
        "kind", host.kind(),
        "weight", host.weight(),
        "state", host.draining() ? "draining" : "ready");
  }

  private static Map<String, Object> pool(Pool pool) {
    return object(
        "name", pool.name(),
        "hosts", texts(pool.selector().hosts()),
        "zones", pool.selector().zones(),
        "kinds", pool.selector().kinds(),
        "least", pool.minReadyHosts(),
        "most", pool.maxInFlight(),
        "spillTo", pool.spillTo());
  }

  private static Map<String, Object> route(Route route) {
    return object(
        "functions", texts(route.functions()),
        "triggerTypes", route.triggerTypes(),
        "customers", route.customers(),
        "when", texts(route.conditions()),
        "by", route.splitKey().name().toLowerCase(Locale.ROOT),
        "split",
            route.targets().stream()
                .map(share -> object("pool", share.pool(), "share", share.weight()))
                .toList());
  }

  private static List<String> texts(List<?> all) {
    return all.stream().map(Object::toString).toList();
  }
}
