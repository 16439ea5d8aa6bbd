/**
 * Changes of a gateway's hosts, pools and routes as transactions: validated, planned in steps,
 * applied, observed, and rolled back when they do harm. No input or output, no clock, no thread.
 */
package flintlead.configuration.transaction;
