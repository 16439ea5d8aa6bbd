package flintlead.platform.upstream;

import flintlead.scheduling.api.Outcome;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * The commands of the host protocol and the status words of its responses. A command is a line that
 * ends in CR LF, for {@code fire} followed by the body and another CR LF.
 */
public final class HostProtocol {

  private static final int FUNCTION_DIGITS = 16;
  private static final int TYPICAL_FIRE_LINE = 160;

  private HostProtocol() {}

  /**
   * Appends the command that runs an invocation.
   *
   * @param limitMillis after which the gateway no longer waits for the response
   * @param idempotencyKey null where the invocation has none
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
        new StringBuilder(TYPICAL_FIRE_LINE)
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

  /** Appends the command that asks the host to hold at least so many instances of a function. */
  public static void writeProvision(ByteBuf out, String tag, long function, int instances) {
    writeLine(out, "provision " + tag + " item=" + hex(function) + ",units=" + instances);
  }

  /** Appends the command that asks for the host's load report. */
  public static void writeProbe(ByteBuf out, String tag) {
    writeLine(out, "busy " + tag);
  }

  /** Appends the command that asks whether the host is alive and takes new work. */
  static void writeAlivenessProbe(ByteBuf out, String tag) {
    writeLine(out, "there " + tag);
  }

  /** The command, without a response, that lets the host unload a function. */
  public static String retire(long function) {
    return "retire " + hex(function);
  }

  /** The command, without a response, that cancels the request of that tag. */
  static String cancel(String tag) {
    return "never_mind " + tag;
  }

  /** Appends a line and its end. */
  static void writeLine(ByteBuf out, String line) {
    out.writeCharSequence(line, StandardCharsets.US_ASCII);
    out.writeByte('\r').writeByte('\n');
  }

  /** The outcome that a response's status word stands for; null for an unknown word. */
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
