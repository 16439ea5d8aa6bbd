package flintlead.transport.loop;

/** The prefixes of an {@link Address} in text form. */
final class Scheme {

  static final String UNIX = "unix:";
  static final String TCP = "tcp:";
  static final String UDP = "udp:";
  static final int MAX_PORT = 65_535;

  private Scheme() {}
}
