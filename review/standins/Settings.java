/** The configuration of a gateway of a small deployment. */
final class Settings {

  private Settings() {}

  /**
   * The whole file. Type {@code check} may run again; {@code lodge} carries a key.
   *
   * @param group the hosts that drop a repeat of {@code lodge}: cell or all
   * @param windowMillis for how long they do
   */
  static String file(
      String name, int port, Journal journal, int memoryMb, int sockets, String group, int windowMillis) {
    return """
    {"name":"%s","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
    "journal":"%s",
    "known":%s,
    "settings":{"dcs":["east"],"kinds":["std"],"zone":0,"index":0,"group_size":1,"tick":2000,
    "discovery":"pushed","weight_kind":"nominal",
    "extra":{"when_absent":"load","may_order":true,"tells_warm":false,"counts_alike":false,
    "idle_life":8000000,"load_wait":10000000,"loads_within":5000000,"free_loads":2,"load_share":0.3},
    "feedback":{"via":"inline","names":["waiting"]},
    "limits":{"attempts_cap":3,"cancel":true,"probes":true,"peer_messages":false,
    "second_copies":false,"conn_idle":15000000,"dial_timeout":250000,"max_streams":100,
    "max_open":20000,"retry_after":true,"max_retry_after":500000},
    "rules":{"answer_slack":8000,"drain_grace":1000000,"warm_after":17000000,"cold_from":0.28,
    "fall_multiple":2.5,"overload_for":3000000},
    "services":[
    {"name":"check","aim":750000,"deadline":3000000,"worth":3,"late_worth":0.2,
    "effect":"repeatable","group":"all","window":5000000,"streaming":false},
    {"name":"lodge","aim":1200000,"deadline":3000000,"worth":9,"late_worth":0.1,
    "effect":"by_key","group":"%s","window":%d,"streaming":false}],
    "tenants":[{"name":"mill","fraction":1.0,"quota_per_s":1000}]}}
    """
        .formatted(
            name, port, memoryMb, sockets, journal.address(), journal.known(), group,
            windowMillis * 1000);
  }
}
