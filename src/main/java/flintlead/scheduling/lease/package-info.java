/**
 * The right to send new work to a host, which ends unless something proves anew that the host does
 * not drain: the host list while it is current, else a proof of the host's own. Pure: no I/O, no
 * clock, no thread.
 */
package flintlead.scheduling.lease;
