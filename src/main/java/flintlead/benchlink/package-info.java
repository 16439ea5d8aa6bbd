/**
 * Adapter to a simulator: reads batches of events from standard input and writes the scheduler's
 * actions to standard output.
 */
package flintlead.benchlink;
