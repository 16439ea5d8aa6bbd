package flintlead.discovery.watch;

/**
 * A change of one key, as a registry reports it.
 *
 * @param key the full key, prefix included
 * @param value the new value; null when the key was deleted
 * @param revision the registry's revision in which the change was made
 */
public record KeyChange(String key, String value, long revision) {}
