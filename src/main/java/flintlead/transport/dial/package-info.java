/**
 * Which of a host's addresses to use: which to dial, when to dial the next in parallel, when one
 * counts as silent, when to return to a better one. Deterministic and without I/O: connection
 * events and the time are passed in. See {@code docs/addresses.md}.
 */
package flintlead.transport.dial;
