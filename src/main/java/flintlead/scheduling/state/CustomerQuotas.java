package flintlead.scheduling.state;

import flintlead.scheduling.api.Deployment;
import flintlead.time.Moment;
import flintlead.time.TokenBucket;
import java.util.Arrays;

/**
 * Enforces customer quotas with one token bucket per customer. Each gateway grants an equal share
 * of a customer's quota.
 */
public final class CustomerQuotas {

  private final SchedulerState state;
  private final TokenBucket[] buckets;

  /** Creates buckets that each hold the tokens of one second. */
  public CustomerQuotas(SchedulerState state) {
    this.state = state;
    this.buckets = new TokenBucket[state.deployment.customerQuotas().size()];
    Arrays.setAll(buckets, customer -> new TokenBucket(perSecond(customer)));
  }

  private double perSecond(int customer) {
    Deployment deployment = state.deployment;
    return deployment.customerQuotas().get(customer) / state.gateways;
  }

  /**
   * Takes a token; returns false if the customer has used up its quota. A customer without a quota
   * is never limited.
   */
  public boolean tryTake(int customer, Moment now) {
    return customer >= buckets.length || buckets[customer].tryTake(now, perSecond(customer));
  }

  /** Puts back a token that was taken for an invocation that was then rejected. */
  public void refund(int customer) {
    if (customer < buckets.length) {
      buckets[customer].refund();
    }
  }
}
