/**
 * The link to one host. Opens connections as needed, sends requests, matches responses to them, and
 * reports with the end of each request whether the host can have run it. Implements the hosts'
 * protocol; makes no decisions about invocations.
 *
 * <p>{@code HostLink} accepts requests. {@code Dialer} opens connections, {@code ConnectionSet}
 * selects among them, and {@code LivenessMonitor} checks their heartbeats. {@code RequestQueue}
 * holds requests that have no connection yet, {@code OrphanedRequests} those that lost theirs.
 * {@code Connection} implements the protocol; {@code ConnectionState} lists its states and
 * transitions, {@code Exchange} those of a request.
 */
package flintlead.gateway.upstream;
