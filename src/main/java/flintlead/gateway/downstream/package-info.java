/**
 * Clients over sockets: JSON-RPC 2.0 in, one final response out. The protocol is written up in
 * docs/protocol.md. {@code ClientConnection} reads messages, {@code RequestParser} their
 * parameters, {@code ClientInvocations} keeps what has no response yet, {@code ReadGate} holds back
 * clients that bring too much.
 */
package flintlead.gateway.downstream;
