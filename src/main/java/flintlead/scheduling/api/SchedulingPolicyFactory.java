package flintlead.scheduling.api;

/** Creates the scheduling policy of a gateway. */
public interface SchedulingPolicyFactory {

  /**
   * Creates a policy.
   *
   * @param context operations of the gateway; the policy may call them already while it is created
   * @param deployment settings known at startup
   * @param seed seed of all random choices, so that a run can be repeated
   */
  SchedulingPolicy create(SchedulerContext context, Deployment deployment, long seed);
}
