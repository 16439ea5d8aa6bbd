package flintlead.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import flintlead.platform.upstream.ConnectionPools;
import flintlead.platform.upstream.HostConnectionLimits;
import flintlead.platform.upstream.Request;
import flintlead.platform.upstream.ResponseFields;
import flintlead.routing.guard.HostSendGuard;
import flintlead.routing.guard.InvariantMonitor;
import flintlead.scheduling.api.Outcome;
import flintlead.time.Moment;
import flintlead.time.Span;
import flintlead.transport.loop.Address;
import flintlead.transport.netty.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.helpers.NOPLogger;

/** The answers of the operators' hosts: what each word proves, and the fields beside it. */
@Timeout(30)
class HostLinesTest {

  private static final HostConnectionLimits TERMS =
      new HostConnectionLimits(
          8, 4, 1_000, 1_000, Span.ofMillis(500), Span.ofMillis(5_000), Span.ofMillis(1_000));

  @TempDir Path folder;

  /** A request that notes how it ended. */
  private static final class Noted extends Request {
    private final CompletableFuture<String> end = new CompletableFuture<>();

    Noted() {
      super("t1", null);
    }

    @Override
    protected void write(ByteBuf out) {
      out.writeCharSequence("ask t1\r\n", StandardCharsets.US_ASCII);
    }

    @Override
    protected void ended(Outcome outcome, ResponseFields fields, ByteBuf body) {
      end.complete(
          said(outcome)
              + ", tell "
              + fields.get("tell")
              + ", units "
              + fields.getInt("units", 0)
              + ", waiting "
              + fields.loadReportValue("waiting")
              + ", body "
              + body.toString(StandardCharsets.US_ASCII));
    }

    private static String said(Outcome outcome) {
      return switch (outcome) {
        case OK -> "done";
        case ERROR -> "failed";
        case FULL -> "no room";
        case MISS -> "not there";
        case WITHDRAWN -> "too late";
        default -> "something else";
      };
    }
  }

  @ParameterizedTest
  @CsvSource({
    "200, done",
    "alive, done",
    "404, not there",
    "503, no room",
    "500, failed",
    "dead, failed",
    "504, too late"
  })
  void everyWordIsUnderstood(String word, String meaning) throws Exception {
    try (ServerSocketChannel host =
            RawLines.serve(
                folder.resolve("h"),
                line ->
                    "t1 " + word + " tell=hot,units=2,meter=inflight:7;waiting:3.5 4\r\nbody\r");
        NettyEventLoop loop = new NettyEventLoop("golden")) {
      assertNotNull(host.getLocalAddress());
      Noted noted = new Noted();
      loop.execute(
          () -> {
            ConnectionPools pools =
                new ConnectionPools(
                    TERMS,
                    loop,
                    loop,
                    HostSendGuard.ofAuthoritativeList(
                        new InvariantMonitor((invariant, id, detail) -> {})),
                    NOPLogger.NOP_LOGGER);
            pools.update(1, "s", new Address.Unix(folder.resolve("h")), new Moment(0), false);
            pools.get(1).submit(noted);
          });
      assertEquals(
          meaning + ", tell hot, units 2, waiting 3.5, body body",
          noted.end.get(10, TimeUnit.SECONDS));
    }
  }
}
