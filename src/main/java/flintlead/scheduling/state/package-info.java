/**
 * State of the scheduler, grouped by lifetime: attempts, invocations, functions, hosts, and the
 * tables that hold them. These classes only count and look up; decisions and tuned values are in
 * {@link flintlead.scheduling}.
 */
package flintlead.scheduling.state;
