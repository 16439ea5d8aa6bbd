package flintlead.testing.soak;

/** What a soak does to gateways, hosts, the journal, clients or the machine. */
public enum FaultKind {
  /** A gateway process is stopped (SIGSTOP) for the length, then continued. */
  STANDSTILL(Target.GATEWAY, 50, 2_000, 10),
  /**
   * SIGTERM, with SIGHUP and SIGTERM in series, SIGKILL at the platform's earliest, and a start.
   */
  RESTART(Target.GATEWAY, 1, 1, 4),
  /** SIGKILL and a start. */
  KILL(Target.GATEWAY, 1, 1, 2),
  /** SIGHUP several times in a row. */
  RELOAD(Target.GATEWAY, 1, 1, 2),
  /** The host answers nothing. */
  HANG(Target.HOST, 200, 3_000, 3),
  /** The host answers after the time it was given, also what was cancelled. */
  LATE(Target.HOST, 500, 3_000, 3),
  /** The host answers twice, the second time some milliseconds later. */
  TWICE(Target.HOST, 500, 3_000, 3),
  /** Some of the host's answers can't be read. */
  SPOILT(Target.HOST, 300, 2_000, 2),
  /** The host closes connections on which nothing is in flight. */
  CLOSE_IDLE(Target.HOST, 500, 3_000, 3),
  /** Bytes to and from the host are held, and delivered when the network is whole again. */
  CUT(Target.HOST, 100, 2_500, 5),
  /** Connections to the host are reset under their requests. */
  RESET(Target.HOST, 1, 1, 4),
  /** The host's answers are late by some milliseconds, and come in pieces. */
  PIECES(Target.HOST, 500, 3_000, 3),
  /**
   * The host drains, turning new work and probes away, then its process ends, and another one
   * returns at its address.
   */
  DRAIN(Target.HOST, 1_500, 12_000, 4),
  /** Connections to the host open, and its first bytes come late. */
  LATE_OPEN(Target.HOST, 500, 3_000, 2),
  /** The journal's connections end, and no new one is accepted. */
  JOURNAL_GONE(Target.JOURNAL, 300, 4_000, 2),
  /** The journal is connected and says nothing. */
  JOURNAL_SILENT(Target.JOURNAL, 300, 3_000, 2),
  /** The journal is gone for longer than silence counts as told. */
  LONG_OUTAGE(Target.JOURNAL, 5_000, 30_000, 1),
  /** The same, but it is connected and says nothing. */
  LONG_SILENCE(Target.JOURNAL, 5_000, 30_000, 1),
  /** A crowd of clients comes to one gateway. */
  CROWD(Target.GATEWAY, 500, 2_000, 3),
  /** Clients send small or unsound requests to one gateway at full speed, and leave. */
  FLOOD(Target.GATEWAY, 500, 3_000, 4),
  /** Other processes keep the cores busy. */
  BUSY(Target.MACHINE, 500, 2_000, 2);

  /** What a fault is done to. */
  enum Target {
    GATEWAY,
    HOST,
    JOURNAL,
    MACHINE
  }

  private final Target target;
  private final int minMillis;
  private final int maxMillis;
  private final int weight;

  FaultKind(Target target, int minMillis, int maxMillis, int weight) {
    this.target = target;
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.weight = weight;
  }

  Target target() {
    return target;
  }

  int minMillis() {
    return minMillis;
  }

  int maxMillis() {
    return maxMillis;
  }

  /** How often it is drawn, beside the others. */
  int weight() {
    return weight;
  }
}
