package flintlead.gateway.upstream;

/** Counts the connections to all hosts, and closes idle ones when a link needs another. */
public interface ConnectionQuota {

  /** Number of connections to all hosts, open or being opened. */
  int totalConnections();

  /** Closes the connection that has been idle longest among those to all hosts. */
  void closeLongestIdle();
}
