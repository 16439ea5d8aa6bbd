package flintlead.daemon;

import flintlead.configuration.yaml.YamlSection;
import flintlead.membership.peer.PeerConfig;
import flintlead.membership.swim.MessageAuthenticator;
import flintlead.membership.swim.ProbeSchedule;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the key {@code members}: how the gateway talks to others. Faults are collected in the
 * section.
 */
final class PeerConfigReader {

  private static final Address.Udp PLACEHOLDER = new Address.Udp("127.0.0.1", 1);
  private static final Span MIN_PERIOD = Span.ofMillis(10);
  private static final Span MIN_ANSWER_TIME = Span.ofMillis(1);

  private PeerConfigReader() {}

  /**
   * What the section says.
   *
   * @param keyFiles from which the keys were read
   */
  record PeerSettings(PeerConfig config, List<Path> keyFiles) {

    /** For a gateway that talks to no other. */
    static final PeerSettings NONE = new PeerSettings(null, List.of());
  }

  static PeerSettings read(YamlSection from) {
    Address.Udp listen = udp(from, "listen", from.string("listen", null), PLACEHOLDER);
    Address.Udp advertised =
        from.has("told") ? udp(from, "told", from.string("told", null), null) : null;
    List<Address.Udp> seeds = new ArrayList<>();
    for (String text : from.strings("seeds", List.of())) {
      seeds.add(udp(from, "seeds", text, listen));
    }
    List<Path> keyFiles = from.strings("keyFiles", List.of()).stream().map(Path::of).toList();
    List<byte[]> keys = keys(from, keyFiles);
    PeerConfig usual = PeerConfig.defaults(listen, seeds);
    PeerConfig config =
        new PeerConfig(
            listen,
            advertised,
            seeds,
            keys,
            schedule(from, usual.probeSchedule()),
            from.flag("learn", usual.stateTransferEnabled()),
            from.span("freshFor", usual.servingDelay(), Span.ZERO, ConfigLimits.MAX_SPAN),
            usual.transferLimits(),
            usual.transferTimeouts());
    from.rejectUnknownKeys();
    return new PeerSettings(config, keyFiles);
  }

  private static List<byte[]> keys(YamlSection from, List<Path> keyFiles) {
    try {
      return KeyFiles.read(keyFiles);
    } catch (IOException e) {
      from.addError(
          "keyFiles",
          e.getMessage(),
          "write a file with at least "
              + MessageAuthenticator.MIN_KEY_BYTES
              + " bytes by chance, the same for all gateways");
      return List.of();
    }
  }

  private static ProbeSchedule schedule(YamlSection from, ProbeSchedule usual) {
    Span period = from.span("period", usual.probeInterval(), MIN_PERIOD, ConfigLimits.MAX_SPAN);
    Span answerTime =
        from.span("answerTime", usual.probeTimeout(), MIN_ANSWER_TIME, ConfigLimits.MAX_SPAN);
    int members = from.integer("most", usual.maxMembers(), 2, ConfigLimits.MAX_ID);
    if (!answerTime.times(2).isShorterThan(period)) {
      from.addError(
          "answerTime",
          "leaves no time in a period to ask others",
          "make it less than half of the period");
    }
    return new ProbeSchedule(
        period,
        answerTime,
        usual.indirectProbes(),
        usual.suspicionMultiplier(),
        usual.maxSuspicionFactor(),
        usual.retransmitMultiplier(),
        members);
  }

  private static Address.Udp udp(YamlSection from, String key, String text, Address.Udp otherwise) {
    try {
      return text == null ? otherwise : Address.Udp.parse(text);
    } catch (IllegalArgumentException e) {
      from.addError(key, e.getMessage(), "write udp:127.0.0.1:7001");
      return otherwise;
    }
  }
}
