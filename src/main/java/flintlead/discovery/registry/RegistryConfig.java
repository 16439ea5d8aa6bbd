package flintlead.discovery.registry;

import flintlead.discovery.watch.ListLimits;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import java.util.List;

/**
 * Configuration of a registry: where it is and how it is spoken to.
 *
 * @param endpoints addresses of its servers, tried in turn
 * @param prefix of the keys that hold hosts; what follows it in a key is the host's name
 * @param pageSize number of keys in one page of a full read
 * @param requestTimeout timeout of a full read's request
 * @param watchIdleTimeout how long a watch may be silent before it is taken for dead and opened
 *     again
 * @param listLimits limits of the list of hosts; a response has at most as many bytes as the list
 *     may have characters
 */
public record RegistryConfig(
    Protocol protocol,
    List<Address> endpoints,
    String prefix,
    int pageSize,
    Span requestTimeout,
    Span watchIdleTimeout,
    ListLimits listLimits) {

  private static final int MAX_BODY_BYTES = 32 << 20;
  private static final int DEFAULT_PAGE_SIZE = 500;
  private static final Span DEFAULT_REQUEST_TIMEOUT = Span.ofMillis(5_000);

  /** How long a watch may be silent by default. */
  public static final Span DEFAULT_WATCH_IDLE_TIMEOUT = Span.ofMillis(60_000);

  /**
   * The registry's protocol. The names are stored in snapshots and stand in configuration files in
   * lower case.
   */
  public enum Protocol {
    /** The etcd v3 API through its JSON gateway. */
    ETCD,
    /** Consul's key-value store with blocking queries. */
    CONSUL
  }

  /**
   * Checks the configuration.
   *
   * @throws IllegalArgumentException when there is no endpoint, no prefix or no positive page size
   */
  public RegistryConfig {
    endpoints = List.copyOf(endpoints);
    if (endpoints.isEmpty() || prefix.isEmpty() || pageSize < 1) {
      throw new IllegalArgumentException(
          "a registry needs an endpoint, a prefix and pages of 1 key at least");
    }
  }

  /** A configuration with the default limits. */
  public RegistryConfig(
      Protocol protocol,
      List<Address> endpoints,
      String prefix,
      int pageSize,
      Span requestTimeout,
      Span watchIdleTimeout) {
    this(
        protocol,
        endpoints,
        prefix,
        pageSize,
        requestTimeout,
        watchIdleTimeout,
        ListLimits.DEFAULTS);
  }

  /** The same configuration with other limits of the list. */
  public RegistryConfig withListLimits(ListLimits limits) {
    return new RegistryConfig(
        protocol, endpoints, prefix, pageSize, requestTimeout, watchIdleTimeout, limits);
  }

  /** Maximum bytes of a response's body, or of one message of a watch. */
  int maxBodyBytes() {
    return (int) Math.min(MAX_BODY_BYTES, listLimits.characters());
  }

  /** Returns a configuration with the default page size and timeouts. */
  public static RegistryConfig withDefaults(
      Protocol protocol, List<Address> endpoints, String prefix) {
    return new RegistryConfig(
        protocol,
        endpoints,
        prefix,
        DEFAULT_PAGE_SIZE,
        DEFAULT_REQUEST_TIMEOUT,
        DEFAULT_WATCH_IDLE_TIMEOUT);
  }

  /**
   * Returns what a snapshot is marked with, so that another registry's is not taken for this one's;
   * endpoints do not count.
   */
  public String snapshotSource() {
    return protocol + " " + prefix;
  }
}
