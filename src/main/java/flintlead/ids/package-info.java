/**
 * Stable numbers for the names of hosts and functions: the same in every gateway and after each
 * restart.
 */
package flintlead.ids;
