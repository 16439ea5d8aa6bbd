package flintlead.configuration.rollout;

/**
 * A gateway's own status, as its control socket reports it.
 *
 * @param steady whether no transaction is under way
 * @param confirmedVersion id of the version that was confirmed last
 * @param transactionsStarted number of transactions begun since its process began
 * @param lastOutcome how its last transaction ended, the candidate's id first
 * @param succeeded invocations that succeeded since its process began
 * @param failed invocations that were throttled or failed with an error since then
 */
public record GatewayStatus(
    boolean steady,
    String confirmedVersion,
    long transactionsStarted,
    String lastOutcome,
    long succeeded,
    long failed) {

  /** Returns the number of invocations that have ended. */
  long total() {
    return succeeded + failed;
  }
}
