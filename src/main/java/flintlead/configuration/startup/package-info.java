/**
 * Settings of the deployment that a gateway gets at its start, the same for the bench's wire and
 * for the platform's configuration file. Does no I/O.
 */
package flintlead.configuration.startup;
