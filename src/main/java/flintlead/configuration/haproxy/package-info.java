/**
 * Import of HAProxy's configuration format, as its manual describes it (HAProxy 2.8 Configuration
 * Manual, sections 2 to 5): configuration files of this program, and a report in which every line
 * of the source has one entry.
 */
package flintlead.configuration.haproxy;
