/**
 * The endpoint list: which hosts there are, and when a registry's failure must not be taken for the
 * hosts'.
 *
 * <p>{@link flintlead.discovery.endpoint.EndpointRegistry} stands between a registry and the
 * scheduler. No input or output, no clock.
 */
package flintlead.discovery.endpoint;
