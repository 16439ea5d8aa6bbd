package flintlead.platform.upstream;

/**
 * The fields of a host's response: {@code name=value,name=value}, or {@code -} if there are none.
 * Immutable.
 */
public final class ResponseFields {

  /** No fields. */
  public static final ResponseFields NONE = new ResponseFields("-");

  private static final String LOAD_REPORT_FIELD = "meter";
  private static final int MAX_LOAD_REPORT_PARTS = 16;
  private static final int MAX_DIGITS = 9;

  private final String text;

  ResponseFields(String text) {
    this.text = text;
  }

  /** The value of the first field with this name; null if there is none. */
  public String get(String name) {
    int from = 0;
    while (from < text.length()) {
      int comma = text.indexOf(',', from);
      int end = comma < 0 ? text.length() : comma;
      int equals = from + name.length();
      if (end > equals && text.startsWith(name, from) && text.charAt(equals) == '=') {
        return text.substring(equals + 1, end);
      }
      from = end + 1;
    }
    return null;
  }

  /**
   * The value of a field as an integer of at most nine digits; {@code defaultValue} if there is no
   * such value.
   */
  public int getInt(String name, int defaultValue) {
    String value = get(name);
    if (value == null || value.isEmpty() || value.length() > MAX_DIGITS) {
      return defaultValue;
    }
    for (int i = 0; i < value.length(); i++) {
      if (value.charAt(i) < '0' || value.charAt(i) > '9') {
        return defaultValue;
      }
    }
    return Integer.parseInt(value);
  }

  /** Whether the response contains a load report. */
  public boolean hasLoadReport() {
    return get(LOAD_REPORT_FIELD) != null;
  }

  /**
   * The value with this name in the load report, for example in {@code meter=inflight:7;util:0.61};
   * NaN if there is none.
   */
  public float loadReportValue(String name) {
    String report = get(LOAD_REPORT_FIELD);
    if (report == null) {
      return Float.NaN;
    }
    for (String part : report.split(";", MAX_LOAD_REPORT_PARTS)) {
      int colon = name.length();
      if (part.length() > colon && part.startsWith(name) && part.charAt(colon) == ':') {
        return parse(part.substring(colon + 1));
      }
    }
    return Float.NaN;
  }

  private static float parse(String value) {
    try {
      return Float.parseFloat(value);
    } catch (NumberFormatException e) {
      return Float.NaN;
    }
  }
}
