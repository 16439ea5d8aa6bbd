/**
 * HTTP/1.1 on streams, by Netty's codec: a client request, a small server connection, and a strict
 * server-side codec.
 */
package flintlead.transport.http;
