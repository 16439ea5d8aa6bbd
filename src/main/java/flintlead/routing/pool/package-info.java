/**
 * Routing of invocations to pools. A pool is a subset of the hosts, with a limit on its invocations
 * in flight. Routes select the pool of an invocation; a pool that can't serve its invocations
 * spills them to other pools. {@link flintlead.routing.pool.Layout} is the configuration, {@link
 * flintlead.routing.pool.PoolRouter} holds the state.
 *
 * <p>Pure: no I/O, no clock, no threads; random sources are passed in. The scheduler selects the
 * host within the pool.
 */
package flintlead.routing.pool;
