/**
 * Membership and state transfer on the network and on disk: carries their messages as datagrams on
 * the gateway's event loop, authenticates them, and connects them to the gateway.
 */
package flintlead.membership.peer;
