package flintlead.configuration.rollout;

import java.util.List;

/**
 * What is stored of a rollout while it is under way, so that another process can go on with it or
 * take it back.
 *
 * @param id by which gateways tell calls of this rollout from those of others
 * @param gateways in the order in which they change
 * @param revertReason why it is being taken back; null while it goes forward
 */
public record RolloutRecord(String id, List<GatewayRecord> gateways, String revertReason) {

  /**
   * One gateway of a rollout.
   *
   * @param name its address
   * @param previousVersion the version that it had before
   * @param targetVersion the version that it is to have
   * @param previousConfiguration the text that restores what it had before
   * @param notified whether it may have been told of the change
   */
  public record GatewayRecord(
      String name,
      String previousVersion,
      String targetVersion,
      String previousConfiguration,
      boolean notified) {}

  /** Copies the gateways. */
  public RolloutRecord {
    gateways = List.copyOf(gateways);
  }
}
