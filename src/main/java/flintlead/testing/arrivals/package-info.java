/**
 * When invocations arrive and how much work they are: processes and distributions, drawn or from a
 * file.
 */
package flintlead.testing.arrivals;
