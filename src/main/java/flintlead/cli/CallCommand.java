package flintlead.cli;

import flintlead.client.ClientResponse;
import flintlead.client.GatewayClient;
import flintlead.configuration.yaml.YamlSection;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** One invocation from the shell. */
@Command(
    name = "call",
    mixinStandardHelpOptions = true,
    description = "Invokes once and prints the answer; exit 1 where it did not succeed.")
final class CallCommand implements Callable<Integer> {

  @Parameters(index = "0", description = "Where: unix:/path or tcp:127.0.0.1:PORT.")
  private String at;

  @Parameters(index = "1", description = "The function.")
  private String function;

  @Option(names = "--type", defaultValue = "check", description = "The trigger type.")
  private String type;

  @Option(names = "--customer", description = "The customer.")
  private String customer;

  @Option(
      names = "--timeout",
      defaultValue = "3s",
      description = "How long to wait for the answer.")
  private String timeout;

  @Option(names = "--token", description = "The mark by which a repeat is known.")
  private String token;

  @Option(names = "--payload", description = "A JSON text.")
  private String payload;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    Span most = YamlSection.span(timeout);
    if (most == null) {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "--timeout " + timeout + ": write a number with its unit, as 500ms or 3s");
    }
    Address address = Commands.address(spec, at);
    CompletableFuture<ClientResponse> answer = new CompletableFuture<>();
    try (NettyEventLoop loop = new NettyEventLoop("call")) {
      loop.execute(
          () ->
              GatewayClient.connect(loop, address, () -> {})
                  .invoke(
                      function,
                      type,
                      customer,
                      most,
                      token,
                      payload == null
                          ? null
                          : payload.replace('\n', ' ').getBytes(StandardCharsets.UTF_8),
                      false,
                      answer::complete));
      ClientResponse reply = answer.get(most.micros() + 2_000_000, TimeUnit.MICROSECONDS);
      if (reply.status() == ClientResponse.Status.SUCCEEDED) {
        System.out.println(
            reply.payload() == null ? "null" : new String(reply.payload(), StandardCharsets.UTF_8));
        return 0;
      }
      System.err.println(
          reply.status().name().toLowerCase(java.util.Locale.ROOT)
              + ": "
              + reply.message()
              + (reply.status() == ClientResponse.Status.THROTTLED
                  ? "; come back in " + reply.retryAfter().micros() / 1000 + " ms"
                  : ""));
      return Commands.FAILED;
    } catch (TimeoutException e) {
      System.err.println("no answer in time");
      return Commands.FAILED;
    }
  }
}
