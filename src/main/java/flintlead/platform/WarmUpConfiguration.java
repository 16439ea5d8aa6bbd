package flintlead.platform;

import java.nio.file.Path;

/** The configuration file of the gateway that a warm-up runs. */
final class WarmUpConfiguration {

  private WarmUpConfiguration() {}

  /** Returns the JSON of an active host, as an endpoint of a host event. */
  static String endpoint(String name, Path socket) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\"unix:"
        + socket
        + "\",\"status\":\"active\",\"zone\":\"z\",\"group\":0,\"weight\":1}";
  }

  /**
   * Returns the complete file.
   *
   * @param listen the gateway's socket
   * @param journal the journal service's socket
   * @param endpoints JSON of the hosts known at the start
   */
  static String file(Path listen, Path journal, String endpoints) {
    return """
    {"name":"warm-up","listen":"unix:%s","seed":"1",
    "limits":{"memory_mb":64,"sockets":128},"journal":"unix:%s",
    "known":{"pos":1,"entries":[{"pos":1,"hosts":{"snapshot":true,"endpoints":[%s]}}]},
    "settings":{"group_size":1,"tick":1000,
    "limits":{"attempts_cap":3,"cancel":true,"max_streams":10,"dial_timeout":1000000,
    "conn_idle":15000000},
    "extra":{"idle_life":4000000},"feedback":{"names":["waiting"]},
    "rules":{"answer_slack":5000,"drain_grace":1000000},
    "services":[{"name":"a","aim":20000,"deadline":1000000,"worth":1,"effect":"repeatable"},
    {"name":"b","aim":40000,"deadline":1000000,"worth":3,"effect":"by_key","group":"cell",
    "window":2000000}],
    "tenants":[{"name":"m","quota_per_s":1000}]}}
    """
        .formatted(listen, journal, endpoints);
  }
}
