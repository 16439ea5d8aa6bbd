package flintlead.configuration.rollout;

/** States of a rollout; the last three are final. */
public enum RolloutStage {
  /** Gateways validate the change. */
  CHECKING,
  /** The gateways of a wave apply it. */
  APPLYING,
  /** All of the wave have confirmed it, and are compared with the others. */
  SETTLING,
  /** All that may have been told go back. */
  REVERTING,
  /** All gateways have changed. */
  DONE,
  /** All gateways have what they had before. */
  REVERTED,
  /** Some gateways can't be brought to either; an operator must act. */
  STUCK;

  /** Returns whether the rollout is at its end. */
  public boolean isFinal() {
    return this == DONE || this == REVERTED || this == STUCK;
  }

  /** Returns whether this state can come directly after the other one. */
  boolean canFollow(RolloutStage before) {
    return switch (this) {
      case CHECKING -> false;
      case APPLYING -> before == CHECKING || before == SETTLING;
      case SETTLING -> before == APPLYING;
      case REVERTING -> before == APPLYING || before == SETTLING;
      case DONE -> before == SETTLING;
      case REVERTED -> before == CHECKING || before == REVERTING;
      case STUCK -> before == SETTLING || before == REVERTING;
    };
  }
}
