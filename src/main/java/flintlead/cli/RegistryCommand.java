package flintlead.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import flintlead.discovery.registry.RegistryConfig;
import flintlead.discovery.registry.RegistryDiscovery;
import flintlead.discovery.watch.KeyChange;
import flintlead.testing.emulator.RegistryEmulator;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** A stand-in registry by itself. */
@Command(
    name = "registry",
    mixinStandardHelpOptions = true,
    description =
        "Runs a stand-in registry (etcd v3 JSON gateway and Consul's key-value store) until"
            + " interrupted.")
final class RegistryCommand implements Callable<Integer> {

  @Parameters(index = "0", description = "Where it listens: unix:/path or tcp:127.0.0.1:PORT.")
  private String at;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try (NettyEventLoop loop = new NettyEventLoop("registry")) {
      RegistryEmulator registry = new RegistryEmulator(Address.parse(at), loop);
      registry.start();
      System.out.println("stand-in registry at " + registry.address());
      new CountDownLatch(1).await();
    }
    return 0;
  }

  /** Prints what changes. */
  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Follows the hosts in a registry and prints each change as it is applied.")
  static final class Watch implements Callable<Integer> {

    @Parameters(index = "0", arity = "1..*", description = "The registry's endpoints.")
    private List<String> endpoints;

    @Option(names = "--protocol", defaultValue = "etcd", description = "etcd or consul.")
    private RegistryConfig.Protocol protocol;

    @Option(names = "--prefix", defaultValue = "flintlead/hosts/", description = "Of the keys.")
    private String prefix;

    @Option(names = "--json", description = "Print JSON lines.")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
      RegistryConfig terms =
          RegistryConfig.withDefaults(
              protocol, endpoints.stream().map(Address::parse).toList(), prefix);
      try (NettyEventLoop loop = new NettyEventLoop("watch")) {
        loop.execute(
            () ->
                new RegistryDiscovery(
                        loop,
                        loop,
                        terms,
                        new Random(),
                        System::currentTimeMillis,
                        null,
                        Runnable::run,
                        RegistryDiscovery.context(
                            host -> null, host -> {}, hosts -> {}, System.err::println),
                        new Printer())
                    .start());
        new CountDownLatch(1).await();
      }
      return 0;
    }

    private final class Printer implements RegistryDiscovery.Observer {
      private final ObjectMapper mapper = new ObjectMapper();

      @Override
      public void onChanges(String cluster, long revision, List<KeyChange> changes) {
        changes.forEach(
            change ->
                print(
                    change.value() == null ? "deleted" : "put",
                    cluster,
                    revision,
                    change.key(),
                    change.value()));
      }

      @Override
      public void onReplaced(String cluster, long revision, Map<String, String> all, String why) {
        print("reread", cluster, revision, why, null);
        all.forEach((key, value) -> print("held", cluster, revision, key, value));
      }

      private void print(String what, String cluster, long revision, String key, String value) {
        if (json) {
          ObjectNode node =
              mapper
                  .createObjectNode()
                  .put("what", what)
                  .put("cluster", cluster)
                  .put("revision", revision)
                  .put("key", key)
                  .put("value", value);
          System.out.println(node);
        } else {
          System.out.println(
              revision + " " + what + " " + key + (value == null ? "" : " " + value));
        }
      }
    }
  }
}
