package flintlead.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.time.Moment;
import flintlead.transport.loop.Address;
import flintlead.transport.loop.EventExecutor;
import flintlead.transport.loop.Stream;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.slf4j.helpers.NOPLogger;

/** Hosts that never end their messages made the library keep 4 MiB for each connection. */
class PartialMessagesTest {

  private static final int LIMIT_BYTES = 1_000;

  private final List<String> calls = new ArrayList<>();
  private final UpstreamContext context =
      UpstreamContext.of(
          "gw",
          new IdleExecutor(),
          null,
          UpstreamLimits.DEFAULTS.withPartialMessageBytes(LIMIT_BYTES),
          recording("quota", ConnectionQuota.class),
          HostSendGuard.ofAuthoritativeList(new InvariantMonitor((invariant, id, detail) -> {})),
          new Random(1),
          NOPLogger.NOP_LOGGER);

  /** Runs no task. */
  private static final class IdleExecutor implements EventExecutor {
    @Override
    public Moment now() {
      return new Moment(1);
    }

    @Override
    public Runnable scheduleAt(Moment time, Runnable task) {
      return () -> {};
    }

    @Override
    public void execute(Runnable task) {}
  }

  /** An implementation that records the names of the called methods. */
  private <T> T recording(String name, Class<T> type) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              calls.add(name + " " + method.getName());
              if (method.getReturnType() == long.class) {
                return 0L;
              }
              return method.getName().equals("alloc") ? UnpooledByteBufAllocator.DEFAULT : null;
            }));
  }

  private Connection connection(String name) {
    Connection connection =
        new Connection(
            context,
            recording(name + " listener", ConnectionListener.class),
            Address.parse("tcp:127.0.0.1:1"));
    connection.open(recording(name, Stream.class));
    return connection;
  }

  @Test
  void theOldestUnfinishedMessageEndsItsConnectionAtTheMemoryLimit() {
    Connection first = connection("first");
    Connection second = connection("second");
    String half = "x".repeat(600);
    first.received(Unpooled.copiedBuffer(half, StandardCharsets.US_ASCII));
    assertEquals(0, calls.stream().filter("first abort"::equals).count());
    second.received(Unpooled.copiedBuffer(half, StandardCharsets.US_ASCII));
    assertEquals(1, calls.stream().filter("first abort"::equals).count(), calls.toString());
    assertEquals(0, calls.stream().filter("second abort"::equals).count(), calls.toString());
  }
}
