/**
 * Downstream side of the gateway: HTTP/1.1 connections of clients, with one invocation at a time on
 * each. Everything in this package is used on the event loop's thread unless stated otherwise.
 */
package flintlead.platform.downstream;
