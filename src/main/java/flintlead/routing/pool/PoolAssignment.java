package flintlead.routing.pool;

/** The assignment of one invocation to a pool, until it is released. */
public final class PoolAssignment {

  final PoolState servingPool;

  /**
   * The pool that the invocation is routed to. Differs from the serving pool if the invocation was
   * spilled.
   */
  final PoolState homePool;

  final RouteRequest request;
  boolean released;

  PoolAssignment(PoolState servingPool, PoolState homePool, RouteRequest request) {
    this.servingPool = servingPool;
    this.homePool = homePool;
    this.request = request;
  }

  /**
   * The id of the serving pool, from 0 to below {@link PoolRouter#MAX_POOL_IDS}; a host belongs to
   * the pool if its pool mask has the bit of this id.
   */
  public int poolId() {
    return servingPool.id;
  }

  /** The name of the serving pool. */
  public String poolName() {
    return servingPool.definition.name();
  }

  /** Whether another pool spilled the invocation to the serving pool. */
  public boolean isSpillover() {
    return servingPool != homePool;
  }
}
