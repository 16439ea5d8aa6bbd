/**
 * Simulation: scenarios in virtual time. The gateway as it is shipped, emulated hosts and clients
 * run on a simulated clock and network in one thread, so that a run is a function of its scenario
 * and its seed.
 */
package flintlead.testing.simulation;
