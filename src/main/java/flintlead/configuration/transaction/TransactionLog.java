package flintlead.configuration.transaction;

import java.util.function.Consumer;

/**
 * Where the state of a transaction is written before anything is done: what a process that dies
 * leaves to the next one.
 */
public interface TransactionLog {

  /**
   * Writes the record in place of the one before, in one atomic step.
   *
   * @param onWritten receives whether the record is on the medium; called on the loop, perhaps
   *     within this call
   */
  void write(TransactionRecord record, Consumer<Boolean> onWritten);

  /**
   * A stored record.
   *
   * @param confirmed the version to go back to; the one in force where no transaction is under way
   * @param candidate the version that is being applied; null for none
   */
  record TransactionRecord(ConfigurationVersion confirmed, ConfigurationVersion candidate) {

    /** Line between the two versions. */
    private static final String SEPARATOR = "--\n";

    /** Returns the record as text: the confirmed version, then the candidate. */
    public String encode() {
      return confirmed.encode() + SEPARATOR + (candidate == null ? "" : candidate.encode());
    }

    /**
     * Parses what {@link TransactionRecord#encode} returned.
     *
     * @throws IllegalArgumentException when the text is no record
     */
    public static TransactionRecord decode(String text) {
      int at = text.startsWith(SEPARATOR) ? 0 : text.indexOf("\n" + SEPARATOR) + 1;
      if (at == 0 && !text.startsWith(SEPARATOR)) {
        throw new IllegalArgumentException("no record of a change");
      }
      String tried = text.substring(at + SEPARATOR.length());
      return new TransactionRecord(
          ConfigurationVersion.decode(text.substring(0, at)),
          tried.isEmpty() ? null : ConfigurationVersion.decode(tried));
    }
  }
}
