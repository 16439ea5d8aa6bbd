/**
 * A client of the JSON-RPC front: one connection, many invocations at once, responses as they come.
 */
package flintlead.client;
