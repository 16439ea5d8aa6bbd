/**
 * Reports of runs and experiments as HTML pages with plots, and recorded invocations as an Arrow
 * file.
 */
package flintlead.testing.simulation.report;
