/**
 * The daemon: reads a configuration file, runs a gateway of the library with its client addresses,
 * and offers the control socket. It makes no decision about invocations.
 */
package flintlead.daemon;
