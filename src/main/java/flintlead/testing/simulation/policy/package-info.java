/**
 * Baseline scheduling policies behind the same interface as the shipped one, to compare it with; in
 * simulations only.
 */
package flintlead.testing.simulation.policy;
