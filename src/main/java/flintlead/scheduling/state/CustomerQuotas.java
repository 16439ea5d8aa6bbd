package flintlead.scheduling.state;

import flintlead.scheduling.api.Deployment;
import flintlead.time.Moment;
import flintlead.time.TokenBucket;
import java.util.Arrays;

/** The token bucket of each customer: this gateway's even part of what the customer may send. */
public final class CustomerQuotas {

  private final SchedulerState state;
  private final TokenBucket[] buckets;

  /** Creates buckets filled for one second. */
  public CustomerQuotas(SchedulerState state) {
    this.state = state;
    this.buckets = new TokenBucket[state.deployment.customerQuotas().size()];
    Arrays.setAll(buckets, customer -> new TokenBucket(perSecond(customer)));
  }

  private double perSecond(int customer) {
    Deployment deployment = state.deployment;
    return deployment.customerQuotas().get(customer) / state.gateways;
  }

  /** Takes a token; returns false when the customer is beyond its quota. */
  public boolean tryTake(int customer, Moment now) {
    return customer >= buckets.length || buckets[customer].tryTake(now, perSecond(customer));
  }

  /** Returns a token that was spent in vain. */
  public void refund(int customer) {
    if (customer < buckets.length) {
      buckets[customer].refund();
    }
  }
}
