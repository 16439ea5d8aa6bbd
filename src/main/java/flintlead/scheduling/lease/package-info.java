/**
 * Leases: the permission to send new work to a host. A lease ends unless there is new evidence that
 * the host is not draining: the host list while it is current, otherwise a proof from the host
 * itself. Pure logic: no I/O, no clock, no threads.
 */
package flintlead.scheduling.lease;
