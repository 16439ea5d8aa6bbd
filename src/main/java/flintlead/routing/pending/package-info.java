/**
 * Last safeguard for rule 1 (docs/design.md): each admitted invocation gets exactly one final
 * response. Pure: no I/O, no clock, no threads.
 */
package flintlead.routing.pending;
