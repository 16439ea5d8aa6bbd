/**
 * Following the keys of a shared registry: which request comes next, what is applied, and when
 * everything must be read again.
 *
 * <p>{@link flintlead.discovery.watch.RegistryWatcher} is a state machine that is told of
 * responses, broken connections and time. It knows no protocol and no socket. docs/registry.md
 * gives the reasons.
 */
package flintlead.discovery.watch;
