package flintlead.transport.loop;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Where a stream or a datagram leads, as {@code unix:/path} or {@code tcp:127.0.0.1:4000}. */
public sealed interface Address {

  /**
   * Linux limits socket paths to this many bytes, the terminating NUL included (unix(7), sun_path).
   */
  int MAX_UNIX_PATH_BYTES = 108;

  /**
   * A Unix domain socket.
   *
   * @param path of the socket file
   */
  record Unix(Path path) implements Address {
    @Override
    public String toString() {
      return Scheme.UNIX + path;
    }
  }

  /**
   * A TCP port of a numeric address; names are not resolved here.
   *
   * @param host an IPv4 or IPv6 address in figures, without brackets
   * @param port 0 to 65535, where 0 asks for any free port
   */
  record Tcp(String host, int port) implements Address {
    @Override
    public String toString() {
      return Scheme.TCP + hostAndPort(host, port);
    }
  }

  /**
   * A UDP port of a numeric address, for datagrams only.
   *
   * @param host an IPv4 or IPv6 address in figures, without brackets
   * @param port 0 to 65535, where 0 asks for any free port
   */
  record Udp(String host, int port) implements Address {
    @Override
    public String toString() {
      return Scheme.UDP + hostAndPort(host, port);
    }

    /**
     * Parses {@code udp:ADDRESS:PORT}.
     *
     * @throws IllegalArgumentException with the text and what is wrong with it
     */
    public static Udp parse(String text) {
      if (!text.startsWith(Scheme.UDP)) {
        throw new IllegalArgumentException("'" + text + "': expected udp:ADDRESS:PORT");
      }
      Tcp sameInTcp = (Tcp) Address.parse(Scheme.TCP + text.substring(Scheme.UDP.length()));
      return new Udp(sameInTcp.host(), sameInTcp.port());
    }
  }

  /**
   * As {@link #parse}, but an address without a scheme is a TCP address.
   *
   * @throws IllegalArgumentException with the text and what is wrong with it
   */
  static Address parseTcp(String text) {
    return parse(text.startsWith(Scheme.UNIX) ? text : Scheme.TCP + text);
  }

  /**
   * Parses {@code unix:/path} or {@code tcp:ADDRESS:PORT}.
   *
   * @throws IllegalArgumentException with the text and what is wrong with it
   */
  static Address parse(String text) {
    return text.startsWith(Scheme.UNIX) ? parseUnixPath(text) : parseTcpAddress(text);
  }

  private static Unix parseUnixPath(String text) {
    String path = text.substring(Scheme.UNIX.length());
    int bytes = path.getBytes(StandardCharsets.UTF_8).length;
    if (path.isEmpty() || path.indexOf(0) >= 0 || bytes >= MAX_UNIX_PATH_BYTES) {
      throw new IllegalArgumentException(
          "'"
              + text
              + "': a socket path has 1 to "
              + (MAX_UNIX_PATH_BYTES - 1)
              + " bytes, this one "
              + bytes);
    }
    return new Unix(Path.of(path));
  }

  private static Tcp parseTcpAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (!text.startsWith(Scheme.TCP) || colon < Scheme.TCP.length()) {
      throw new IllegalArgumentException("'" + text + "': expected unix:/path or tcp:ADDRESS:PORT");
    }
    String host = text.substring(Scheme.TCP.length(), colon);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    if (!host.matches("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
      throw new IllegalArgumentException(
          "'" + text + "': the address must be in figures, as 127.0.0.1 or [::1]");
    }
    return new Tcp(host, parsePort(text, text.substring(colon + 1)));
  }

  private static int parsePort(String text, String digits) {
    try {
      int port = Integer.parseInt(digits);
      if (port >= 0 && port <= Scheme.MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      // Reported below together with a number out of range.
    }
    throw new IllegalArgumentException("'" + text + "': the port must be a number from 0 to 65535");
  }

  private static String hostAndPort(String host, int port) {
    return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
  }
}
