package flintlead.configuration.rollout;

/**
 * The calls to gateways. Each is answered by one call of {@link Rollout#onPlanned}, {@link
 * Rollout#onStatus} or {@link Rollout#onFailure}, or never. Gateways are given by their index.
 */
public interface GatewayClients {

  /** Asks what the change would do, and what the gateway has now. */
  void plan(int gateway);

  /**
   * Asks for the change.
   *
   * @param expects the version that the gateway must have
   * @param back whether to go back to what the gateway had, which no fence prevents
   */
  void apply(int gateway, String expects, boolean back);

  /** Asks for a rollback of the transaction that is under way. */
  void rollBack(int gateway);

  /**
   * Asks for the gateway's status.
   *
   * @param fence whether it must refuse all further calls of this rollout that go forward
   */
  void queryStatus(int gateway, boolean fence);

  /**
   * Stores the record, before anything that it speaks of is done.
   *
   * @return whether it is stored
   */
  boolean saveRecord(RolloutRecord record);

  /** Logs a line for operators. */
  void log(String line);
}
