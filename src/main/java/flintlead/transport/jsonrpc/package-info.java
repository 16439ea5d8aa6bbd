/**
 * JSON-RPC 2.0 with one JSON text per line: a line decoder, a parser and a writer of messages. It
 * knows no method of its own and is used towards clients and hosts alike.
 */
package flintlead.transport.jsonrpc;
