package flintlead.configuration.haproxy;

import flintlead.configuration.haproxy.ImportReport.LineOutcome;
import flintlead.time.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A {@code server} line, with the parameters of the {@code default-server} lines that apply to it.
 */
final class ServerLine {

  /** Parameters without a value (manual, 5.2). */
  private static final Set<String> FLAGS =
      WordList.setOf(
          """
          allow-0rtt backup check check-send-proxy check-ssl check-via-socks4 disabled enabled
          force-sslv3 force-tlsv10 force-tlsv11 force-tlsv12 force-tlsv13 no-backup no-check
          no-check-ssl no-send-proxy no-send-proxy-v2 no-send-proxy-v2-ssl no-ssl no-ssl-reuse
          no-sslv3 no-tls-tickets no-tlsv10 no-tlsv11 no-tlsv12 no-tlsv13 no-verifyhost
          non-stick send-proxy send-proxy-v2 send-proxy-v2-ssl send-proxy-v2-ssl-cn ssl
          ssl-reuse stick tfo tls-tickets no-tfo check-reuse-pool no-agent-check agent-check
          """);

  /** Parameters with a value, which can be missing at the end of a line only. */
  private static final Set<String> PAIRS =
      WordList.setOf(
          """
          addr agent-addr agent-inter agent-port agent-send alpn ca-file check-alpn
          check-proto check-sni ciphers ciphersuites cookie crl-file crt downinter error-limit
          fall fastinter init-addr inter log-bufsize log-proto maxconn maxqueue max-reuse
          minconn namespace npn observe on-error on-marked-down on-marked-up pool-low-conn
          pool-max-conn pool-purge-delay port proto redir resolve-net resolve-opts
          resolve-prefer resolvers rise set-proxy-v2-tlv-fmt shard sigalgs slowstart sni
          socks4 source ssl-max-ver ssl-min-ver tcp-md5sig tcp-ut track usesrc verify
          verifyhost weight ws guid hash-key curves client-sigalgs pool-conn-name interface
          """);

  /** Parameters of health checks. */
  private static final Set<String> HEALTH =
      WordList.setOf(
          """
          check no-check inter fastinter downinter rise fall port addr observe on-error
          on-marked-down on-marked-up error-limit agent-check agent-port agent-inter
          agent-addr agent-send track check-sni check-alpn check-proto check-ssl
          check-send-proxy init-addr
          """);

  private static final double MAX_WEIGHT = 256;

  private final String name;

  /** In this program's form; null where it can't be converted. */
  private final String address;

  private double weight = 1;
  private boolean hasWeight;
  private boolean backup;
  private boolean disabled;

  /** Most connections; 0 where the source does not bound them. */
  private int maxConnections;

  /** Null where the source does not ask for it. */
  private Span slowStart;

  private final List<String> differences = new ArrayList<>();
  private LineOutcome outcome = LineOutcome.MAPPED;
  private String reason = "";

  /**
   * Parses a line.
   *
   * @param defaults the words of the default-server lines that apply, without their keyword
   */
  ServerLine(SourceLine line, List<String> defaults) {
    this.name = line.word(1);
    this.address = HaproxyAddresses.of(line.word(2));
    if (name.isEmpty() || line.word(2).isEmpty()) {
      reject(LineOutcome.UNKNOWN, "write server NAME ADDRESS:PORT");
    } else if (address == null) {
      reject(
          LineOutcome.DROPPED,
          "'" + line.word(2) + "': addresses must be in figures with a port, or unix@/path");
    }
    readParameters(defaults);
    readParameters(line.wordsFrom(3));
  }

  String name() {
    return name;
  }

  String address() {
    return address;
  }

  double weight() {
    return weight;
  }

  /** Whether the source gives a weight. */
  boolean hasWeight() {
    return hasWeight;
  }

  boolean isBackup() {
    return backup;
  }

  int maxConnections() {
    return maxConnections;
  }

  Span slowStart() {
    return slowStart;
  }

  /** Whether it is in service: neither disabled nor of weight 0. */
  boolean isInService() {
    return !disabled && weight > 0;
  }

  /** Whether it can be taken over. */
  boolean isMapped() {
    return outcome == LineOutcome.MAPPED;
  }

  /** Reports the line's outcome, with the differences noted so far. */
  void report(SourceLine line, ImportReport report) {
    if (!isMapped()) {
      report.add(line, outcome, reason);
    } else if (differences.isEmpty()) {
      report.add(line, LineOutcome.MAPPED, "");
    } else {
      report.add(line, LineOutcome.DIFFERS, String.join("; ", differences));
    }
  }

  /** Notes what differs where its parameters are taken over. */
  void noteDifferences() {
    if (backup) {
      differences.add(
          "backups are a pool of their own, all of them used at once, by and by and for as long as"
              + " the others can't take all");
    } else if (disabled) {
      differences.add("it is listed as draining, and finishes what it has");
    }
    if (hasWeight && weight == 0) {
      differences.add("weight 0 is listed as draining");
    } else if (hasWeight) {
      differences.add("the weight shares out functions, not single calls, and room goes before it");
    }
    if (maxConnections > 0) {
      differences.add("one bound holds for all hosts of a gateway: the least of them");
    }
    if (slowStart != null) {
      differences.add("one time holds for all hosts of a gateway: the longest of them");
    }
  }

  private void reject(LineOutcome how, String why) {
    if (isMapped()) {
      outcome = how;
      reason = why;
    }
  }

  private void addDifference(String what) {
    if (!differences.contains(what)) {
      differences.add(what);
    }
  }

  private void readParameters(List<String> words) {
    for (int i = 0; i < words.size(); i++) {
      String word = words.get(i);
      boolean pair = PAIRS.contains(word);
      if (!pair && !FLAGS.contains(word)) {
        reject(LineOutcome.UNKNOWN, "'" + word + "' is no parameter of a server");
        return;
      }
      if (pair && i + 1 == words.size()) {
        reject(LineOutcome.UNKNOWN, "'" + word + "' lacks its value");
        return;
      }
      readParameter(word, pair ? words.get(++i) : "");
    }
  }

  private void readParameter(String word, String value) {
    switch (word) {
      case "weight" -> {
        weight = number(word, value, MAX_WEIGHT);
        hasWeight = true;
      }
      case "maxconn" -> maxConnections = (int) number(word, value, Integer.MAX_VALUE);
      case "slowstart" -> {
        slowStart = HaproxyDurations.read(value);
        if (slowStart == null) {
          reject(LineOutcome.UNKNOWN, "'slowstart " + value + "' is no span of time");
        }
      }
      case "backup" -> backup = true;
      case "no-backup" -> backup = false;
      case "disabled" -> disabled = true;
      case "enabled" -> disabled = false;
      case "ssl" -> reject(LineOutcome.DROPPED, "no TLS is spoken to hosts");
      case "send-proxy", "send-proxy-v2", "send-proxy-v2-ssl", "send-proxy-v2-ssl-cn", "socks4" ->
          reject(LineOutcome.DROPPED, "'" + word + "': hosts speak JSON-RPC only");
      default -> {
        if (HEALTH.contains(word)) {
          addDifference("hosts are judged by their answers, not by checks");
        } else {
          addDifference("'" + word + "' has no meaning here");
        }
      }
    }
  }

  private double number(String word, String value, double most) {
    if (value.matches("\\d{1,9}") && Double.parseDouble(value) <= most) {
      return Double.parseDouble(value);
    }
    reject(
        LineOutcome.UNKNOWN,
        "'" + word + " " + value + "' should be a whole number of at most " + (long) most);
    return 1;
  }
}
