/**
 * Emulators of the hosts, of the store they load from, and of a registry, with faults by script,
 * and the log that hosts keep of what reached them. Small models, not measurements; all that share
 * a store or a group run on one event loop.
 */
package flintlead.testing.emulator;
