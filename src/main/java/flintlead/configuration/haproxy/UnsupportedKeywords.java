package flintlead.configuration.haproxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The manual's keywords that have no counterpart here, with the reason; those that have one are in
 * {@link LineImporter}.
 */
final class UnsupportedKeywords {

  private static final String HTTP = "no HTTP is read here: clients send JSON-RPC";
  private static final String TLS = "no TLS is spoken here";
  private static final String LOGS = "logs are JSON lines on standard error";
  private static final String PROCESS = "the process is run by whoever starts it";
  private static final String HEALTH = "hosts are judged by their answers, not by checks";
  private static final String STICKS = "a function stays with its hosts by its walk";
  private static final String TIMEOUT_REASON = "there is no such wait here";
  private static final String STATS = "ask the gateway with members, or read its logs";
  private static final String TUNING =
      "this program has its own bounds: see bounds in docs/operating.md";

  private static final Map<String, String> DROPPED = new HashMap<>();
  private static final Map<String, String> DROPPED_PREFIXES = new HashMap<>();
  private static final Map<String, String> DROPPED_OPTIONS = new HashMap<>();

  static {
    put(
        DROPPED,
        HTTP,
        """
        capture compression cookie declare errorfile errorfiles errorloc errorloc302
        errorloc303 filter force-persist http-after-response http-error http-request
        http-response http-send-name-header ignore-persist monitor monitor-uri redirect
        unique-id-format unique-id-header http-reuse use-fcgi-app http-errors clitcpka-cnt
        h1-case-adjust h1-case-adjust-file strict-limits use-server http-check-rules
        tcp-request tcp-response
        """);
    put(
        DROPPED,
        LOGS,
        """
        log log-format log-format-sd log-tag log-send-hostname error-log-format email-alert
        dynamic-cookie-key
        """);
    put(
        DROPPED,
        PROCESS,
        """
        chroot daemon user group uid gid pidfile nbthread nbproc cpu-map thread-groups
        master-worker node description set-dumpable setcap ulimit-n localpeer default-path
        expose-experimental-directives expose-deprecated-directives insecure-fork-wanted
        insecure-setuid-wanted grace hard-stop-after close-spread-time mworker-max-reloads
        external-check prealloc-fd fd-hard-limit busy-polling quiet debug zero-warning
        pp2-never-send-local id disabled enabled bind-process numa-cpu-mapping
        shm-stats-file 51degrees-data-file set-var set-var-fmt stress-level
        """);
    put(
        DROPPED,
        "set the variable where the import runs: lines are read with the import's own environment",
        """
        setenv presetenv unsetenv resetenv
        """);
    put(
        DROPPED,
        HEALTH,
        """
        http-check tcp-check server-state-file server-state-base load-server-state-from-file
        spread-checks max-spread-checks
        """);
    put(
        DROPPED,
        STICKS,
        """
        stick stick-table persist hash-type hash-balance-factor appsession
        hash-preserve-affinity
        """);
    put(
        DROPPED,
        STATS,
        """
        stats wurfl-data-file deviceatlas-json-file
        """);
    put(
        DROPPED,
        "what comes in is bounded by taken and window: see bounds in docs/operating.md",
        """
        rate-limit backlog fullconn maxconnrate maxsessrate maxsslconn maxsslrate
        maxcomprate maxcompcpuusage maxpipes maxzlibmem maxqueue max-keep-alive-queue
        retry-on maxobject max-session-srv-conns max-age
        """);
    put(
        DROPPED,
        "connections leave by the way the kernel chooses",
        """
        source transparent dispatch interface
        """);
    put(
        DROPPED,
        "hosts are listed one by one, or come from a registry",
        """
        server-template
        """);
    put(
        DROPPED,
        "routes are chosen when an invocation is taken",
        """
        force-be-switch guid
        """);
    put(
        DROPPED_PREFIXES,
        TUNING,
        """
        tune. maxconn. noepoll nokqueue nopoll nosplice nogetaddrinfo noreuseport noevports
        profiling. anonkey
        """);
    put(
        DROPPED_PREFIXES,
        TLS,
        """
        ssl- ca-base crt-base key-base issuers-chain-path no-quic limited-quic h2-workaround
        """);
    put(
        DROPPED_PREFIXES,
        HTTP,
        """
        lua- wurfl- 51degrees- deviceatlas-
        """);
    put(
        DROPPED_OPTIONS,
        HTTP,
        """
        httpclose http-server-close http-keep-alive forwardfor forwarded http-buffer-request
        http-ignore-probes http-use-htx http-no-delay http-pretend-keepalive
        http-use-proxy-header originalto accept-invalid-http-request
        accept-invalid-http-response accept-unsafe-violations-in-http-request
        accept-unsafe-violations-in-http-response allbackups checkcache
        h1-case-adjust-bogus-client h1-case-adjust-bogus-server http-restrict-req-hdr-names
        httplog httpslog http-tunnel prefer-last-server disable-h2-upgrade use-small-buffers
        http-drop-request-trailers http-drop-response-trailers
        """);
    put(
        DROPPED_OPTIONS,
        LOGS,
        """
        dontlognull dontlog-normal log-separate-errors logasap tcplog log-health-checks
        socket-stats clf
        """);
    put(
        DROPPED_OPTIONS,
        HEALTH,
        """
        httpchk tcp-check ldap-check mysql-check pgsql-check redis-check smtpchk spop-check
        ssl-hello-chk external-check log-health-checks tcpka-check
        """);
    put(
        DROPPED_OPTIONS,
        PROCESS,
        """
        tcpka clitcpka srvtcpka splice-auto splice-request splice-response tcp-smart-accept
        tcp-smart-connect nolinger contstats abortonclose independent-streams persist
        idle-close-on-response transparent
        """);
  }

  /** Timeouts that the manual knows. */
  static final Set<String> TIMEOUTS =
      WordList.setOf(
          """
          check client client-fin client-hs connect http-keep-alive http-request queue server
          server-fin tarpit tunnel
          """);

  private UnsupportedKeywords() {}

  private static void put(Map<String, String> map, String why, String words) {
    for (String word : WordList.of(words)) {
      map.putIfAbsent(word, why);
    }
  }

  /** Returns why a keyword has no counterpart here; null for one that is not known at all. */
  static String dropped(String keyword) {
    String why = DROPPED.get(keyword);
    if (why != null) {
      return why;
    }
    for (Map.Entry<String, String> each : DROPPED_PREFIXES.entrySet()) {
      if (keyword.startsWith(each.getKey())) {
        return each.getValue();
      }
    }
    return null;
  }

  /** Returns why an option has no counterpart here; null for one that is not known at all. */
  static String droppedOption(String option) {
    return DROPPED_OPTIONS.get(option);
  }

  /** Returns why a timeout has no counterpart here. */
  static String droppedTimeout() {
    return TIMEOUT_REASON;
  }
}
