/**
 * Scenarios with faults: gateways, emulated hosts and clients, faults by script, and an auditor
 * that judges the five rules by what the hosts and the clients saw, never by what a gateway reports
 * of itself. A scenario runs on real sockets or in a simulation.
 */
package flintlead.testing.scenario;
