/**
 * Interfaces and data types between a gateway and its scheduling policy. They use no I/O, clock or
 * thread.
 */
package flintlead.scheduling.api;
