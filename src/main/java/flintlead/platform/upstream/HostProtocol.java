package flintlead.platform.upstream;

import flintlead.scheduling.api.Outcome;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * The commands of the host protocol and the status words of its responses. A command is a line that
 * ends in CR LF; {@code fire} is followed by the body and another CR LF.
 */
public final class HostProtocol {

  private static final int FUNCTION_DIGITS = 16;
  private static final int TYPICAL_FIRE_LINE_CHARS = 160;

  private HostProtocol() {}

  /**
   * Appends the command that runs an invocation.
   *
   * @param limitMillis time after which the gateway no longer waits for the response
   * @param idempotencyKey null if the invocation has none
   */
  public static void writeFire(
      ByteBuf out,
      String tag,
      String triggerType,
      String function,
      long limitMillis,
      String idempotencyKey,
      byte[] body) {
    StringBuilder line =
        new StringBuilder(TYPICAL_FIRE_LINE_CHARS)
            .append("fire ")
            .append(tag)
            .append(" cls=")
            .append(triggerType)
            .append(",item=")
            .append(function)
            .append(",limit=")
            .append(limitMillis);
    if (idempotencyKey != null) {
      line.append(",nonce=").append(idempotencyKey);
    }
    line.append(' ').append(body.length).append("\r\n");
    out.writeCharSequence(line, StandardCharsets.US_ASCII);
    out.writeBytes(body).writeByte('\r').writeByte('\n');
  }

  /**
   * Appends the command that asks the host to keep at least {@code instances} instances of a
   * function loaded.
   */
  public static void writeProvision(ByteBuf out, String tag, long function, int instances) {
    writeLine(out, "provision " + tag + " item=" + hex(function) + ",units=" + instances);
  }

  /** Appends the command that requests the host's load report. */
  public static void writeLoadProbe(ByteBuf out, String tag) {
    writeLine(out, "busy " + tag);
  }

  /** Appends the command that asks whether the host is alive and accepts new work. */
  static void writeLivenessProbe(ByteBuf out, String tag) {
    writeLine(out, "there " + tag);
  }

  /** The command that allows the host to unload a function. It has no response. */
  public static String unloadCommand(long function) {
    return "retire " + hex(function);
  }

  /** The command that cancels the request with this tag. It has no response. */
  static String cancelCommand(String tag) {
    return "never_mind " + tag;
  }

  /** Appends a line and its terminator, CR LF. */
  static void writeLine(ByteBuf out, String line) {
    out.writeCharSequence(line, StandardCharsets.US_ASCII);
    out.writeByte('\r').writeByte('\n');
  }

  /** The outcome that a response's status word stands for; null if the word is unknown. */
  static Outcome outcomeOf(String status) {
    return switch (status) {
      case "200", "alive" -> Outcome.OK;
      case "404" -> Outcome.MISS;
      case "503" -> Outcome.FULL;
      case "500", "dead" -> Outcome.ERROR;
      case "504" -> Outcome.WITHDRAWN;
      default -> null;
    };
  }

  private static String hex(long function) {
    String digits = Long.toHexString(function);
    return "0".repeat(FUNCTION_DIGITS - digits.length()) + digits;
  }
}
