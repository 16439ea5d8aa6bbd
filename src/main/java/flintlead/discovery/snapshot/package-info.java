/**
 * The last good state of a registry, kept on disk so that a restart need not begin without hosts,
 * and the durable storage it is written to. A file that is damaged, too old or of another registry
 * is never used.
 */
package flintlead.discovery.snapshot;
