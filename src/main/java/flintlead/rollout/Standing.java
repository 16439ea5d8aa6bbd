package flintlead.rollout;

/**
 * What a gateway says of itself.
 *
 * @param steady whether no change is under way
 * @param good the version that it would begin with
 * @param tried changes that it has begun since its process began
 * @param last how its last change ended, the version that was tried first
 * @param succeeded invocations since it began
 * @param failed the same of those throttled or errored
 */
public record Standing(boolean steady, String good, long tried, String last, long succeeded, long failed) {
}
