package flintlead.testing.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes the configuration files of a soak's gateways. */
final class SoakConfiguration {

  static final int DRAIN_GRACE_MILLIS = 1_000;
  static final int WINDOW_MILLIS = 2_000;
  static final int MEMORY_MB = 160;
  static final int DESCRIPTORS = 320;
  private static final int MICROS = 1_000;

  /** Of so many seeds one forbids probes. */
  private static final int SEEDS_PER_WITHOUT_PROBES = 5;

  private SoakConfiguration() {}

  /**
   * The complete file of one gateway.
   *
   * @param knownEvent the journal's first event
   */
  static String file(SoakPlan plan, int gateway, String listen, String journal, String knownEvent) {
    return """
    {"name":"n%d","listen":"%s","seed":"%x",
    "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"journal":"%s",
    "known":{"pos":1,"entries":[%s]},
    "settings":{"dcs":["z"],"kinds":["k"],"index":%d,"group_size":%d,"tick":1000,
    "extra":{"when_absent":"load","idle_life":4000000,"load_wait":4000000,"loads_within":5000000,
    "free_loads":2,"load_share":0.3},"feedback":{"names":["waiting"]},
    "limits":{"attempts_cap":3,"cancel":true,"probes":%b,"conn_idle":4000000,"dial_timeout":250000,
    "max_streams":100,"retry_after":true,"max_retry_after":500000},
    "rules":{"answer_slack":5000,"drain_grace":%d,"warm_after":1000000,"cold_from":0.3,
    "fall_multiple":2.5,"overload_for":3000000},
    "services":[%s],"tenants":[{"name":"mill","quota_per_s":1000}]}}
    """
        .formatted(
            gateway,
            listen,
            plan.seed() * 1_000 + gateway,
            MEMORY_MB,
            DESCRIPTORS,
            journal,
            knownEvent,
            gateway,
            plan.gateways(),
            plan.seed() % SEEDS_PER_WITHOUT_PROBES != 0,
            DRAIN_GRACE_MILLIS * MICROS,
            services(plan));
  }

  private static String services(SoakPlan plan) {
    List<String> services = new ArrayList<>();
    for (TriggerKind kind : TriggerKind.values()) {
      int deadline = plan.deadlines().get(kind.ordinal()) * MICROS;
      services.add(
          String.format(
              Locale.ROOT,
              "{\"name\":\"%s\",\"aim\":%d,\"deadline\":%d,\"worth\":3,\"effect\":\"%s\","
                  + "\"group\":\"all\",\"window\":%d}",
              kind.wireName(),
              deadline / 3,
              deadline,
              kind.effect(),
              WINDOW_MILLIS * MICROS));
    }
    return String.join(",", services);
  }

  /** A host as an endpoint of a journal event. */
  static String endpoint(String name, String address, String status, long sinceMillis) {
    return "{\"name\":\""
        + name
        + "\",\"address\":\""
        + address
        + "\",\"zone\":\"z\",\"type\":\"k\",\"group\":0,\"status\":\""
        + status
        + "\",\"weight\":1,\"since_ms\":"
        + sinceMillis
        + "}";
  }

  /** A journal event. */
  static String event(long position, boolean snapshot, List<String> endpoints) {
    return "{\"pos\":"
        + position
        + ",\"hosts\":{\"index\":"
        + position
        + ",\"snapshot\":"
        + snapshot
        + ",\"endpoints\":["
        + String.join(",", endpoints)
        + "]}}";
  }
}
