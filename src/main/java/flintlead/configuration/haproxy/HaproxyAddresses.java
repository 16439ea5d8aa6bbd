package flintlead.configuration.haproxy;

import flintlead.transport.loop.Address;
import java.util.ArrayList;
import java.util.List;

/** Converts addresses from the manual's form (4.2, bind; 5.2, server) to this program's. */
final class HaproxyAddresses {

  /** Ranges of more ports are refused. */
  private static final int MAX_PORT_RANGE = 64;

  private HaproxyAddresses() {}

  /** Converts one address with a port, or a Unix socket; null for anything else. */
  static String of(String text) {
    String plain =
        text.startsWith("ipv4@") || text.startsWith("ipv6@") || text.startsWith("unix@")
            ? text.substring("ipv4@".length())
            : text;
    String converted =
        text.startsWith("unix@") || plain.startsWith("/")
            ? "unix:" + plain
            : "tcp:" + withHost(plain);
    try {
      Address parsed = Address.parse(converted);
      return parsed instanceof Address.Tcp tcp && tcp.port() == 0 ? null : parsed.toString();
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /**
   * Writes a missing host or a star as 0.0.0.0, and sets brackets round an address of version 6.
   */
  private static String withHost(String text) {
    int colon = text.lastIndexOf(':');
    if (colon == 0 || colon == 1 && text.charAt(0) == '*') {
      return "0.0.0.0" + text.substring(colon);
    }
    // An address of version 6 may stand without brackets before its port.
    String host = colon < 0 ? text : text.substring(0, colon);
    return host.indexOf(':') >= 0 && !host.startsWith("[")
        ? "[" + host + "]" + text.substring(colon)
        : text;
  }

  /**
   * Converts the addresses of a bind line's word, each port of a range on its own; null where one
   * can't be converted.
   */
  static List<String> all(String text) {
    List<String> all = new ArrayList<>();
    for (String each : text.split(",", -1)) {
      int colon = each.lastIndexOf(':');
      String ports = colon < 0 ? "" : each.substring(colon + 1);
      if (ports.matches("\\d{1,5}-\\d{1,5}")) {
        int dash = ports.indexOf('-');
        int from = Integer.parseInt(ports.substring(0, dash));
        int to = Integer.parseInt(ports.substring(dash + 1));
        if (to < from || to - from >= MAX_PORT_RANGE) {
          return null;
        }
        String host = each.substring(0, colon + 1);
        for (int port = from; port <= to; port++) {
          all.add(of(host + port));
        }
      } else {
        all.add(of(each));
      }
    }
    return all.contains(null) ? null : all;
  }
}
