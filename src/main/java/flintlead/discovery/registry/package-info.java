/**
 * Clients of registries by their published protocols: the etcd v3 API through its JSON gateway, and
 * Consul's key-value store with blocking queries.
 *
 * <p>{@link flintlead.discovery.registry.RegistryDiscovery} connects the parts: {@code
 * flintlead.discovery.watch} decides what is requested, {@code flintlead.discovery.endpoint} which
 * hosts are used, {@code flintlead.discovery.snapshot} keeps the last good list.
 */
package flintlead.discovery.registry;
