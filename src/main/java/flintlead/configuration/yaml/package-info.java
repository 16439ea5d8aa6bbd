/**
 * Configuration files in YAML. Every message names file, line and key, and what to write instead;
 * all faults of a file are reported at once.
 */
package flintlead.configuration.yaml;
