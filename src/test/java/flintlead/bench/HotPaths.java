package flintlead.bench;

import flintlead.transport.jsonrpc.LineDecoder;
import flintlead.transport.jsonrpc.Message;
import flintlead.transport.jsonrpc.MessageReader;
import flintlead.transport.jsonrpc.RpcException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Benchmarks of the code that every invocation passes through. Not part of CI; run the main method.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class HotPaths {

  private final ByteBuf bytes =
      Unpooled.copiedBuffer(
          "{\"jsonrpc\":\"2.0\",\"id\":17,\"method\":\"invoke\",\"params\":"
              + "{\"function\":\"grade-spruce\",\"triggerType\":\"check\",\"payload\":\""
              + "x".repeat(1_024)
              + "\"}}\n",
          StandardCharsets.UTF_8);
  private final MessageReader reader = new MessageReader();
  private final Idle knownFunctions = new Idle(85);
  private final Idle newFunctions = new Idle(85);
  private Message last;
  private long function;

  private final LineDecoder decoder =
      new LineDecoder(
          1 << 20,
          new LineDecoder.LineHandler() {
            @Override
            public void line(ByteBuf line) {
              try {
                last = reader.read(MessageReader.validatedBytes(line));
              } catch (RpcException e) {
                throw new IllegalStateException(e);
              }
            }

            @Override
            public void lineTooLong(int maxBytes) {
              throw new IllegalStateException();
            }
          });

  @Benchmark
  public Message decodeAndReadLineOf1KiB() {
    decoder.feed(bytes.duplicate(), UnpooledByteBufAllocator.DEFAULT);
    return last;
  }

  /** Places and answers an invocation of one of fifty loaded functions, with 85 hosts. */
  @Benchmark
  public long placeAndAnswerKnownFunction() {
    return knownFunctions.invoke(function++ % 50);
  }

  /**
   * Places and answers an invocation of a new function, which computes its hash walk over 85 hosts.
   */
  @Benchmark
  public long placeAndAnswerNewFunction() {
    return newFunctions.invoke(function++);
  }

  public static void main(String[] args) throws RunnerException {
    new Runner(new OptionsBuilder().include(HotPaths.class.getSimpleName()).build()).run();
  }
}
