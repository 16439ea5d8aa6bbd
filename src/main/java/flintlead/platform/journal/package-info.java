/**
 * Host discovery on the platform: a client of the journal service, which applies each numbered host
 * event once and in order.
 */
package flintlead.platform.journal;
