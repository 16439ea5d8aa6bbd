package flintlead.platform;

import java.util.List;
import org.slf4j.Marker;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.spi.LoggingEventAware;

/**
 * A logger that writes each event as one line in logfmt: {@code flintlead: WARN event_name
 * key=value key="a value"}. An event without keys, as logged by libraries, is prefixed with its
 * logger's name. Values are escaped, so that none can break the line. Thread-safe if its output is.
 */
final class LogfmtLogger extends LegacyAbstractLogger implements LoggingEventAware {

  private static final long serialVersionUID = 1L;
  private static final int MAX_VALUE_LENGTH = 1_000;
  private static final int TYPICAL_LINE_LENGTH = 160;

  /** Destination of the formatted lines. */
  interface Output {

    /**
     * Writes one line.
     *
     * @param cause the logged exception; null if there is none
     */
    void write(String line, Throwable cause);
  }

  private final Level threshold;
  private final transient Output output;

  /**
   * Creates a logger.
   *
   * @param threshold the lowest level that is written
   */
  LogfmtLogger(String name, Level threshold, Output output) {
    this.name = name;
    this.threshold = threshold;
    this.output = output;
  }

  @Override
  public boolean isTraceEnabled() {
    return isWritten(Level.TRACE);
  }

  @Override
  public boolean isDebugEnabled() {
    return isWritten(Level.DEBUG);
  }

  @Override
  public boolean isInfoEnabled() {
    return isWritten(Level.INFO);
  }

  @Override
  public boolean isWarnEnabled() {
    return isWritten(Level.WARN);
  }

  @Override
  public boolean isErrorEnabled() {
    return isWritten(Level.ERROR);
  }

  private boolean isWritten(Level level) {
    return level.toInt() >= threshold.toInt();
  }

  @Override
  public void log(LoggingEvent event) {
    if (!isWritten(event.getLevel())) {
      return;
    }
    String message =
        MessageFormatter.basicArrayFormat(event.getMessage(), event.getArgumentArray());
    output.write(line(event.getLevel(), message, event.getKeyValuePairs()), event.getThrowable());
  }

  @Override
  protected void handleNormalizedLoggingCall(
      Level level, Marker marker, String pattern, Object[] arguments, Throwable cause) {
    String message = MessageFormatter.basicArrayFormat(pattern, arguments);
    output.write(line(level, message, null), cause);
  }

  @Override
  protected String getFullyQualifiedCallerName() {
    return null;
  }

  private String line(Level level, String message, List<KeyValuePair> pairs) {
    StringBuilder line = new StringBuilder(TYPICAL_LINE_LENGTH).append("flintlead: ").append(level);
    if (pairs == null) {
      line.append(' ').append(name).append(':');
    }
    line.append(' ');
    appendEscaped(line, String.valueOf(message));
    if (pairs != null) {
      pairs.forEach(pair -> appendPair(line, pair));
    }
    return line.toString();
  }

  private static void appendPair(StringBuilder line, KeyValuePair pair) {
    String value = String.valueOf(pair.value);
    line.append(' ').append(pair.key).append('=');
    if (needsQuotes(value)) {
      line.append('"');
      appendEscaped(line, value);
      line.append('"');
    } else {
      line.append(value);
    }
  }

  private static boolean needsQuotes(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c <= ' ' || c == '"' || c == '\\' || c == '=' || c >= 127) {
        return true;
      }
    }
    return value.isEmpty() || value.length() > MAX_VALUE_LENGTH;
  }

  /**
   * Appends the text with line breaks and control characters escaped, truncated to {@link
   * #MAX_VALUE_LENGTH} characters.
   */
  private static void appendEscaped(StringBuilder line, String text) {
    for (int i = 0; i < Math.min(text.length(), MAX_VALUE_LENGTH); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c == '\n') {
        line.append("\\n");
      } else if (c < ' ' || c >= 127 && c < 160) {
        line.append(String.format("\\u%04x", (int) c));
      } else {
        line.append(c);
      }
    }
    if (text.length() > MAX_VALUE_LENGTH) {
      line.append("...");
    }
  }
}
