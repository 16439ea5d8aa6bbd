/**
 * Experiments on simulated scenarios: paired outcomes, confidence intervals, sweeps over a factor.
 */
package flintlead.testing.simulation.experiment;
