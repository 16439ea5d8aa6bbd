package flintlead.platform;

import flintlead.time.Span;

/** Destination of the log's lines. */
interface LogOutput {

  /**
   * Writes the text of one event, given without its last line break; returns false if it is
   * dropped.
   */
  boolean write(String text);

  /** Waits until all accepted text is written, for at most the timeout. */
  default void flush(Span timeout) throws InterruptedException {}
}
